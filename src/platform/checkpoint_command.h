#pragma once

#include <compare>

#include "platform/task_key.h"

namespace clementineloom::platform {

/// @brief Writes a checkpoint of a running task, which continues to run.
struct CheckpointCommand {
  TaskKey key;

  friend auto operator<=>(const CheckpointCommand&, const CheckpointCommand&) = default;
};

}  // namespace clementineloom::platform
