#pragma once

#include <compare>
#include <string_view>

namespace clementineloom::entry {

/// @brief Definition of a metric of the entry daemon, used by the code and by docs/metrics.md.
struct MetricSpec {
  std::string_view name;
  /// "counter", "gauge" or "histogram".
  std::string_view type;
  /// Name of the label of its series; empty for none.
  std::string_view label;
  std::string_view meaning;

  friend auto operator<=>(const MetricSpec&, const MetricSpec&) = default;
};

}  // namespace clementineloom::entry
