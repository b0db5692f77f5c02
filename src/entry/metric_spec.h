#pragma once

#include <compare>
#include <string_view>

namespace clementineloom::entry {

/// @brief A metric of the entry daemon: the code and docs/metrics.md follow it.
struct MetricSpec {
  std::string_view name;
  /// "counter", "gauge" or "histogram".
  std::string_view type;
  /// Label of its series; empty for none.
  std::string_view label;
  std::string_view meaning;

  friend auto operator<=>(const MetricSpec&, const MetricSpec&) = default;
};

}  // namespace clementineloom::entry
