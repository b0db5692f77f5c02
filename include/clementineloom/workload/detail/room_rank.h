#pragma once

#include <compare>

namespace clementineloom::workload::detail {

/// @brief How well a worker suits a step, the best first. An immutable value.
struct RoomRank {
  /// Fill tasks and service tasks would share the worker.
  bool interferes = false;
  /// Urgent work outside the room that is kept for it, or other work inside.
  bool is_in_wrong_reserve = false;

  friend auto operator<=>(const RoomRank&, const RoomRank&) = default;
};

}  // namespace clementineloom::workload::detail
