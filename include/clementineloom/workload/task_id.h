#pragma once

#include <compare>
#include <cstdint>

#include "clementineloom/workload/step_id.h"

namespace clementineloom::workload {

/// @brief One task of a step. An immutable value.
struct TaskId {
  StepId step;
  std::uint32_t index = 0;

  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

}  // namespace clementineloom::workload
