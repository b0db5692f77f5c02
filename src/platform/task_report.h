#pragma once

#include <compare>
#include <cstdint>

#include "clementineloom/model/instant.h"
#include "platform/task_key.h"
#include "platform/task_state.h"

namespace clementineloom::platform {

/// @brief A worker's report of one task. An immutable value.
struct TaskReport {
  TaskKey key;
  std::uint16_t accelerators = 0;
  TaskState state = TaskState::kReserved;
  /// Time since the start, or from the start to the end of an ended task; 0 before the start.
  Duration run_time{0};
  /// Whether a checkpoint of the task exists.
  bool is_checkpointed = false;

  friend auto operator<=>(const TaskReport&, const TaskReport&) = default;
};

}  // namespace clementineloom::platform
