#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

#include "clementineloom/concurrency/bounded_ring.h"
#include "clementineloom/concurrency/stop_signal.h"
#include "gateway/instance_list_source.h"
#include "gateway/listed_workers_of.h"
#include "gateway/metric_names.h"
#include "gateway/routing_event.h"
#include "metrics/metric_registry.h"

namespace clementineloom::gateway {

/// @brief Polls the instance list and forwards each new version to the routing duty.
///
/// While the list is unavailable, the last version stays in use. This is safe: schedulers that can
/// still read the list record a leaving worker on the control stream, and if none can, no departure
/// has been announced to anyone. Thread safety: Run is called on the duty's thread.
template <InstanceListSource Source>
class InstanceListDuty {
 public:
  /// Precondition: the references outlive the duty.
  InstanceListDuty(Source& source, BoundedRing<RoutingEvent>& routing,
                   metrics::MetricRegistry& metrics, StopSignal& stop,
                   std::chrono::milliseconds interval)
      : source_(source), routing_(routing), metrics_(metrics), stop_(stop), interval_(interval) {}

  /// @brief Polls until the stop signal.
  void Run() {
    while (!stop_.stopped()) {
      const auto refusal = RefusalOf([&]() -> Result<void> {
        BOOST_LEAF_AUTO(list, source_.Fetch());
        Publish(list);
        return {};
      });
      if (refusal) {
        metrics_.Count(kListFailures);
      }
      (void)stop_.WaitFor(interval_);
    }
  }

 private:
  void Publish(const platform::InstanceList& list) {
    // An older version from a lagging front end must not restore a worker that has left.
    if (newest_version_ && list.version <= *newest_version_) {
      return;
    }
    newest_version_ = list.version;
    (void)routing_.Push(std::make_shared<const ListedWorkers>(ListedWorkersOf(list)));
  }

  Source& source_;
  BoundedRing<RoutingEvent>& routing_;
  metrics::MetricRegistry& metrics_;
  StopSignal& stop_;
  const std::chrono::milliseconds interval_;
  std::optional<std::uint64_t> newest_version_;
};

}  // namespace clementineloom::gateway
