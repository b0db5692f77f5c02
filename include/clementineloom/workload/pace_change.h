#pragma once

#include <compare>
#include <cstdint>

#include "clementineloom/workload/task_run.h"

namespace clementineloom::workload {

/// @brief A run that is to work at another share of its speed. An immutable value.
struct PaceChange {
  TaskRun run;
  std::uint32_t percent = 100;

  friend auto operator<=>(const PaceChange&, const PaceChange&) = default;
};

}  // namespace clementineloom::workload
