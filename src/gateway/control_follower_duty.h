#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <utility>

#include "clementineloom/concurrency/bounded_ring.h"
#include "clementineloom/concurrency/stop_signal.h"
#include "clementineloom/errors/result_code_table.h"
#include "clementineloom/routing/routing_view_of.h"
#include "clementineloom/state/cluster_state.h"
#include "gateway/daemon_health.h"
#include "gateway/metric_names.h"
#include "gateway/published_offset.h"
#include "gateway/routing_event.h"
#include "gateway/streams.h"
#include "logging/event_log.h"
#include "metrics/metric_registry.h"
#include "platform/log_follower.h"

namespace clementineloom::gateway {

/// @brief Applies the control stream and publishes the routing view to the routing duty.
///
/// After a record with a newer schema the view is no longer confirmed, because that record may have
/// taken a data centre out of service. Thread safety: Run is called on the duty's thread.
template <platform::LogClient Client>
class ControlFollowerDuty {
 public:
  /// Precondition: the references outlive the duty.
  ControlFollowerDuty(Client& log, platform::FollowerOptions options,
                      BoundedRing<RoutingEvent>& routing, PublishedOffset& published,
                      DaemonHealth& health, metrics::MetricRegistry& metrics, StopSignal& stop)
      : follower_(log, std::move(options),
                  [this](const platform::FollowedBatch& it) { return Apply(it); }),
        routing_(routing),
        published_(published),
        health_(health),
        metrics_(metrics),
        stop_(stop) {}

  /// @brief Follows the stream until the stop signal.
  void Run() {
    while (!stop_.stopped()) {
      if (!follower_.Poll(std::chrono::steady_clock::now())) {
        HandleFailedRead();
      }
    }
  }

 private:
  static constexpr std::chrono::milliseconds kRetryDelay{100};

  void HandleFailedRead() {
    metrics_.Count(kReadFailures, "stream", kControlStream);
    if (!std::exchange(is_failing_, true)) {
      logging::LogEvent(logging::LogLevel::kWarning, "control_read_failed",
                        {{"applied_offset", state_.applied_offset().value()}});
    }
    (void)stop_.WaitFor(kRetryDelay);
  }

  bool Apply(const platform::FollowedBatch& batch) {
    is_failing_ = false;
    if (batch.restored != nullptr) {
      Restore(*batch.restored);
    }
    for (const platform::FollowedRecord& it : batch.records) {
      Apply(it);
    }
    if (batch.is_at_tail() && !health_.is_outdated) {
      Publish(batch);
    }
    return true;
  }

  void Restore(const StateImage& image) {
    const auto refusal = RefusalOf([&]() -> Result<void> {
      BOOST_LEAF_ASSIGN(state_, ClusterState::Restore(image));
      return {};
    });
    if (refusal) {
      // The records covered by the snapshot are gone, so the view cannot be complete.
      health_.is_outdated = true;
      logging::LogEvent(logging::LogLevel::kError, "snapshot_refused",
                        {{"detail", refusal->detail}});
    }
  }

  void Apply(const platform::FollowedRecord& followed) {
    if (followed.code != ResultCode::kOk) {
      metrics_.Count(kRecordsSkipped, "reason", ResultCodeName(followed.code));
      health_.is_outdated = health_.is_outdated || followed.code == ResultCode::kNewerSchema;
      logging::LogEvent(
          logging::LogLevel::kError, "control_record_skipped",
          {{"offset", followed.offset.value()}, {"reason", ResultCodeName(followed.code)}});
    } else if (followed.record != nullptr && followed.offset > state_.applied_offset()) {
      (void)state_.Apply(followed.offset, *followed.record);
    }
  }

  void Publish(const platform::FollowedBatch& batch) {
    if (!IsPublished()) {
      published_revision_ = state_.config_revision();
      published_epoch_ = state_.guarantee_epoch();
      auto view = std::make_shared<const RoutingView>(RoutingViewOf(state_));
      (void)routing_.Push(ViewUpdate{std::move(view), batch.read_at});
    } else {
      (void)routing_.Push(ViewConfirmed{batch.read_at});
    }
    published_.Set(batch.read_to);
    health_.is_control_caught_up = true;
  }

  // Every change of workers, data centres or teams advances the config revision or the guarantee
  // epoch.
  [[nodiscard]] bool IsPublished() const {
    return published_revision_ == state_.config_revision() &&
           published_epoch_ == state_.guarantee_epoch();
  }

  platform::LogFollower<Client> follower_;
  BoundedRing<RoutingEvent>& routing_;
  PublishedOffset& published_;
  DaemonHealth& health_;
  metrics::MetricRegistry& metrics_;
  StopSignal& stop_;
  ClusterState state_;
  std::optional<ConfigRevision> published_revision_;
  LogOffset published_epoch_;
  bool is_failing_ = false;
};

}  // namespace clementineloom::gateway
