#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "clementineloom/concurrency/bounded_ring.h"
#include "clementineloom/errors/result_code_table.h"
#include "metrics/metric_registry.h"
#include "scheduler/instance_list_source.h"

namespace clementineloom::scheduler {

/// @brief Fetches the instance list at an interval and hands on each new version.
///
/// Thread safety: Stop may be called from any thread.
template <InstanceListSource Source>
class InstanceListDuty {
 public:
  using Sink = std::function<bool(std::shared_ptr<const platform::InstanceList>)>;

  InstanceListDuty(Source& source, std::chrono::milliseconds interval, Sink sink,
                   metrics::MetricRegistry& metrics)
      : source_(source), interval_(interval), sink_(std::move(sink)), metrics_(metrics) {}

  /// @brief Fetches until Stop is called.
  void Run() {
    while (!stop_.closed()) {
      FetchOnce();
      (void)stop_.PopFor(interval_);
    }
  }

  void Stop() { stop_.Close(); }

  /// @brief Fetches the list once; a version that was handed on before is not repeated.
  void FetchOnce() {
    std::shared_ptr<const platform::InstanceList> list;
    const auto refusal = RefusalOf([&]() -> Result<void> {
      BOOST_LEAF_AUTO(fetched, source_.Fetch());
      list = std::make_shared<const platform::InstanceList>(std::move(fetched));
      return {};
    });
    if (refusal) {
      metrics_.Count("loom_instance_list_failures_total", "reason", ResultCodeName(refusal->code));
      return;
    }
    // A version that could not be handed on is fetched again at the next interval.
    if (handed_ != list->version && sink_(list)) {
      handed_ = list->version;
    }
  }

 private:
  Source& source_;
  const std::chrono::milliseconds interval_;
  Sink sink_;
  metrics::MetricRegistry& metrics_;
  // Nothing is ever pushed: closing it ends a pause.
  BoundedRing<bool> stop_{1};
  std::optional<std::uint64_t> handed_;
};

}  // namespace clementineloom::scheduler
