#pragma once

#include <compare>

#include "platform/task_key.h"

namespace clementineloom::platform {

/// @brief Stops a task or releases a reservation.
struct StopCommand {
  TaskKey key;

  friend auto operator<=>(const StopCommand&, const StopCommand&) = default;
};

}  // namespace clementineloom::platform
