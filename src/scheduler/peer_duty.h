#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "clementineloom/concurrency/bounded_ring.h"
#include "clementineloom/errors/result_code_table.h"
#include "metrics/metric_registry.h"
#include "scheduler/peer_event.h"
#include "scheduler/peer_source.h"

namespace clementineloom::scheduler {

/// @brief Asks the other schedulers for the tail when this scheduler's view is too old.
///
/// This lets a scheduler without a connection to the log continue as long as nothing is appended.
/// Thread safety: none; other threads reach it only through its ring.
template <PeerSource Source>
class PeerDuty {
 public:
  using Sink = std::function<bool(PeerFreshness)>;

  /// The source and the registry have to outlive it.
  PeerDuty(std::string instance, Source& source, Sink sink, metrics::MetricRegistry& metrics)
      : instance_(std::move(instance)),
        source_(source),
        sink_(std::move(sink)),
        metrics_(metrics),
        membership_(std::make_shared<const MembershipView>()) {}

  /// @brief Handles events until the ring is closed and drained.
  void Run(BoundedRing<PeerEvent>& events) {
    for (;;) {
      auto event = events.PopFor(kInterval);
      if (!event && events.closed()) {
        return;
      }
      while (event) {
        Handle(std::move(*event));
        event = events.TryPop();
      }
      Tick(std::chrono::steady_clock::now());
    }
  }

  /// @brief Handles one event.
  void Handle(PeerEvent event) {
    std::visit([this](auto& it) { this->Take(std::move(it)); }, event);
  }

  /// @brief Asks the peers if the view is too old and the last query is at least an interval ago.
  void Tick(MonotonicTime now) {
    const bool is_old = freshness_.is_serving() && !freshness_.IsWithin(kMaxUnqueriedViewAge, now);
    if (!is_old || now < next_query_at_) {
      return;
    }
    next_query_at_ = now + kInterval;
    for (const SchedulerPeer& it : membership_->schedulers()) {
      if (it.instance != instance_) {
        Ask(it);
      }
    }
  }

 private:
  static constexpr std::chrono::milliseconds kInterval{250};
  // A view that is read from the log is at most some 800 ms old between two reads.
  static constexpr std::chrono::milliseconds kMaxUnqueriedViewAge{1'000};

  void Take(const ViewFreshness& freshness) { freshness_ = freshness; }
  void Take(std::shared_ptr<const MembershipView> membership) {
    membership_ = std::move(membership);
  }

  void Ask(const SchedulerPeer& peer) {
    const auto refusal = RefusalOf([&]() -> Result<void> {
      BOOST_LEAF_AUTO(answer, source_.Ask(peer.rpc));
      // If the sink is full, the next query repeats this.
      (void)sink_(answer);
      return {};
    });
    if (refusal) {
      metrics_.Count("loom_peer_failures_total", "reason", ResultCodeName(refusal->code));
    }
  }

  const std::string instance_;
  Source& source_;
  const Sink sink_;
  metrics::MetricRegistry& metrics_;
  std::shared_ptr<const MembershipView> membership_;
  ViewFreshness freshness_;
  MonotonicTime next_query_at_;
};

}  // namespace clementineloom::scheduler
