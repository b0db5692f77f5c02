#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "recovery/recovery_bounds.h"
#include "recovery/timed_step.h"

namespace clementineloom::bench {

/// @brief A kind of trouble: its steps, what its recovery is measured from, and the targets.
struct NamedTrouble {
  std::string name;
  /// Whether times are measured from the end of the trouble, because nothing can work before it.
  bool is_measured_from_end = false;
  /// Whether another ownership must begin before anything can start.
  bool replaces_owner = false;
  RecoveryBounds bounds;
  /// The steps for an owner, in order of time; the last one ends the trouble.
  std::function<std::vector<TimedStep>(std::size_t owner)> steps;
};

}  // namespace clementineloom::bench
