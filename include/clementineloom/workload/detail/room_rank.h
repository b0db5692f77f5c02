#pragma once

#include <compare>

namespace clementineloom::workload::detail {

/// @brief How well a worker suits a step, the best first. An immutable value.
struct RoomRank {
  /// Tasks would share the worker that slow each other: fill tasks and service tasks, or kinds that
  /// were seen to.
  bool interferes = false;
  /// Too slow for the objective of the step's job.
  bool is_too_slow = false;
  /// Urgent work outside the room that is kept for it, or other work inside.
  bool is_in_wrong_reserve = false;
  /// 0 for a worker like most others. Below 0 for a fast worker and a step that needs speed, and
  /// for a slow worker and a step that does not, so that fast workers stay free; else above 0.
  int speed = 0;

  friend auto operator<=>(const RoomRank&, const RoomRank&) = default;
};

}  // namespace clementineloom::workload::detail
