#pragma once

#include <compare>
#include <string>

#include "clementineloom/workload/task_run.h"

namespace clementineloom::workload {

/// @brief The decision to stop a run, so that more urgent work gets its room. An immutable value.
struct Preemption {
  std::string worker;
  TaskRun run;
  /// The task that gets the room.
  TaskId beneficiary;

  friend auto operator<=>(const Preemption&, const Preemption&) = default;
};

}  // namespace clementineloom::workload
