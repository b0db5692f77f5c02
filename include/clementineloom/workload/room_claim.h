#pragma once

#include <compare>
#include <string>

#include "clementineloom/workload/task_id.h"

namespace clementineloom::workload {

/// @brief A worker on which an urgent task waits for room. An immutable value.
struct RoomClaim {
  TaskId task;
  std::string worker;

  friend auto operator<=>(const RoomClaim&, const RoomClaim&) = default;
};

}  // namespace clementineloom::workload
