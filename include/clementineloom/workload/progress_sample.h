#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "clementineloom/workload/steady_time.h"
#include "clementineloom/workload/step_id.h"

namespace clementineloom::workload {

/// @brief How fast a run progressed over a span in which it worked undisturbed. An immutable value.
struct ProgressSample {
  std::string worker;
  StepId step;
  /// Kind of the task, and the kinds of the other runs on the worker, each once.
  std::string kind;
  std::vector<std::string> neighbours;
  /// The tasks of a gang have equal work, those of other steps do not.
  bool is_gang = false;
  /// Percentage points that the run gained, above 0, and the time that it took, above 0.
  std::uint32_t gained_percent = 0;
  Milliseconds span{0};

  friend auto operator<=>(const ProgressSample&, const ProgressSample&) = default;
};

}  // namespace clementineloom::workload
