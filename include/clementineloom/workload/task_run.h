#pragma once

#include <compare>
#include <cstdint>

#include "clementineloom/workload/task_id.h"

namespace clementineloom::workload {

/// @brief One start of a task. Starts of a task are numbered upwards from 1; the members of a gang
/// share the number. An immutable value.
struct TaskRun {
  TaskId task;
  std::uint64_t run = 0;

  friend auto operator<=>(const TaskRun&, const TaskRun&) = default;
};

}  // namespace clementineloom::workload
