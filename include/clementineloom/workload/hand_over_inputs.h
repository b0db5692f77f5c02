#pragma once

#include <compare>
#include <optional>

#include "clementineloom/workload/steady_time.h"

namespace clementineloom::workload {

/// @brief What an owner that asks workers without an answer knows. An immutable value.
struct HandOverInputs {
  /// Time for which it has asked and no worker has answered.
  Milliseconds silence{0};
  /// Whether any worker has answered during this ownership.
  bool has_answered = false;
  /// Whether listed workers hold runs or a job is open.
  bool has_work = false;
  /// Whether other instances are known, whether or not they are alive.
  bool has_peers = false;
  /// Time since the store last confirmed the epoch.
  Milliseconds unconfirmed{0};
  /// Time since this instance last handed over; absent if it has not.
  std::optional<Milliseconds> since_hand_over;

  friend auto operator<=>(const HandOverInputs&, const HandOverInputs&) = default;
};

}  // namespace clementineloom::workload
