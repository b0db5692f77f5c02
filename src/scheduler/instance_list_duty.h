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

/// @brief Fetches the instance list at an interval and passes each new version to the sink.
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

  /// @brief Fetches the list once; the version that was delivered last is not delivered again.
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
    // A version that the sink did not accept is fetched again at the next interval.
    if (delivered_version_ != list->version && sink_(list)) {
      delivered_version_ = list->version;
    }
  }

 private:
  Source& source_;
  const std::chrono::milliseconds interval_;
  Sink sink_;
  metrics::MetricRegistry& metrics_;
  // Never holds an item; closing it ends the pause between two fetches.
  BoundedRing<bool> stop_{1};
  std::optional<std::uint64_t> delivered_version_;
};

}  // namespace clementineloom::scheduler
