#pragma once

#include <compare>

#include "clementineloom/workload/steady_time.h"

namespace clementineloom::workload {

/// @brief What is known of the end of a draining worker. An immutable value.
struct DrainTimes {
  /// Earliest time at which the worker leaves.
  SteadyTime leaves_at;
  /// Longest time that the worker takes to stop a run.
  Milliseconds stop_timeout{0};

  friend auto operator<=>(const DrainTimes&, const DrainTimes&) = default;
};

}  // namespace clementineloom::workload
