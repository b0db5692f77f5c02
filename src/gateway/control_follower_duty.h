#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "clementineloom/concurrency/bounded_ring.h"
#include "clementineloom/concurrency/stop_signal.h"
#include "clementineloom/errors/result_code_table.h"
#include "clementineloom/routing/routing_view_of.h"
#include "clementineloom/state/cluster_state.h"
#include "codec/record_codec.h"
#include "gateway/daemon_health.h"
#include "gateway/metric_names.h"
#include "gateway/published_offset.h"
#include "gateway/routing_event.h"
#include "gateway/stream_follower.h"
#include "gateway/streams.h"
#include "logging/event_log.h"
#include "metrics/metric_registry.h"

namespace clementineloom::gateway {

/// @brief Applies the control stream and publishes the routing view to the routing duty.
///
/// After a record of a newer schema the view is no longer confirmed: that record may have taken a
/// data centre out of service. Thread safety: Run is called on the duty's thread.
template <platform::LogClient Client>
class ControlFollowerDuty {
 public:
  /// Precondition: the references outlive the duty.
  ControlFollowerDuty(Client& log, BoundedRing<RoutingEvent>& routing, PublishedOffset& published,
                      DaemonHealth& health, metrics::MetricRegistry& metrics, StopSignal& stop)
      : follower_(log, std::string(kControlStream)),
        routing_(routing),
        published_(published),
        health_(health),
        metrics_(metrics),
        stop_(stop) {}

  /// @brief Follows the stream until the stop signal.
  void Run() {
    while (!stop_.stopped()) {
      const auto refusal = RefusalOf([&]() -> Result<void> {
        BOOST_LEAF_AUTO(step, follower_.Next());
        Apply(step);
        return {};
      });
      if (refusal) {
        AfterFailedRead(*refusal);
      }
    }
  }

 private:
  static constexpr std::chrono::milliseconds kRetryPause{100};

  void AfterFailedRead(const Refusal& refusal) {
    metrics_.Count(kReadFailures, "stream", kControlStream);
    if (!was_failing_) {
      was_failing_ = true;
      logging::LogEvent(logging::LogLevel::kWarning, "control_read_failed",
                        {{"code", ResultCodeName(refusal.code)}, {"detail", refusal.detail}});
    }
    (void)stop_.WaitFor(kRetryPause);
  }

  void Apply(const FollowStep& step) {
    was_failing_ = false;
    for (const platform::StoredRecord& it : step.records) {
      Apply(it);
    }
    if (step.is_at_tail && !health_.is_outdated) {
      Publish(step.read_at);
    }
  }

  void Apply(const platform::StoredRecord& stored) {
    const auto refusal = RefusalOf([&]() -> Result<void> {
      BOOST_LEAF_AUTO(record, codec::DecodeRecord(stored.payload));
      (void)state_.Apply(stored.offset, record);
      return {};
    });
    if (!refusal) {
      return;
    }
    metrics_.Count(kRecordsSkipped, "reason", ResultCodeName(refusal->code));
    health_.is_outdated = health_.is_outdated || refusal->code == ResultCode::kNewerSchema;
    logging::LogEvent(logging::LogLevel::kError, "control_record_skipped",
                      {{"offset", stored.offset.value()}, {"detail", refusal->detail}});
  }

  void Publish(MonotonicTime fresh_at) {
    if (!IsPublished()) {
      published_revision_ = state_.config_revision();
      published_epoch_ = state_.guarantee_epoch();
      auto view = std::make_shared<const RoutingView>(RoutingViewOf(state_));
      (void)routing_.Push(ViewUpdate{std::move(view), fresh_at});
    } else {
      (void)routing_.Push(ViewConfirmed{fresh_at});
    }
    published_.Set(LogOffset(follower_.next().value() - 1));
    health_.is_control_caught_up = true;
  }

  // Every change of workers, data centres or teams moves one of the two marks.
  [[nodiscard]] bool IsPublished() const {
    return published_revision_ == state_.config_revision() &&
           published_epoch_ == state_.guarantee_epoch();
  }

  StreamFollower<Client> follower_;
  BoundedRing<RoutingEvent>& routing_;
  PublishedOffset& published_;
  DaemonHealth& health_;
  metrics::MetricRegistry& metrics_;
  StopSignal& stop_;
  ClusterState state_;
  std::optional<ConfigRevision> published_revision_;
  LogOffset published_epoch_;
  bool was_failing_ = false;
};

}  // namespace clementineloom::gateway
