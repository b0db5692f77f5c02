#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace clementineloom::metrics {

/// @brief Counters, gauges and latency histograms of a process, with their text exposition.
///
/// A series is named by metric and one optional label, for example
/// ("loom_refusals_total", "reason", "no_upstream"). Names are those of the exposition format.
/// Thread safety: every member may be called from any thread.
class MetricRegistry {
 public:
  MetricRegistry();
  ~MetricRegistry();
  MetricRegistry(const MetricRegistry&) = delete;
  MetricRegistry& operator=(const MetricRegistry&) = delete;

  /// @brief Adds to a counter, which starts at 0.
  void Count(std::string_view name, std::string_view label = {}, std::string_view value = {},
             std::uint64_t amount = 1);

  /// @brief Sets a gauge. @param label, value the label of the series, empty for none
  void Set(std::string_view name, double number, std::string_view label = {},
           std::string_view value = {});

  /// @brief Records a latency in a histogram with buckets from 50 microseconds to 100 seconds.
  void Observe(std::string_view name, std::chrono::nanoseconds latency);

  /// @brief All series as text, in the order of their names.
  [[nodiscard]] std::string Expose() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace clementineloom::metrics
