#pragma once

#include <compare>
#include <string>

namespace clementineloom::ctl {

/// @brief One series of a metrics page. An immutable value.
struct MetricSample {
  std::string name;
  /// Value of its label; empty for a series without one.
  std::string label;
  double number = 0;

  friend auto operator<=>(const MetricSample&, const MetricSample&) = default;
};

}  // namespace clementineloom::ctl
