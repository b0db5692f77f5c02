#pragma once

#include <chrono>
#include <compare>

#include "clementineloom/model/log_offset.h"
#include "scheduler/monotonic_time.h"

namespace clementineloom::scheduler {

/// @brief Freshness of a replica's view of the control stream. An immutable value.
struct ViewFreshness {
  LogOffset read_to;
  LogOffset tail;
  /// When the replica last knew every record of the stream; the epoch before it first did.
  MonotonicTime at_tail;
  /// A record of a newer schema was read: this replica's state may differ from the others.
  bool is_outdated = false;

  /// @brief Whether the view has reached the tail at least once.
  [[nodiscard]] bool is_serving() const { return at_tail != MonotonicTime(); }

  /// @brief Whether the view was at the tail no longer than `age` ago.
  [[nodiscard]] bool IsWithin(std::chrono::milliseconds age, MonotonicTime now) const {
    return is_serving() && now - at_tail <= age;
  }

  friend auto operator<=>(const ViewFreshness&, const ViewFreshness&) = default;
};

}  // namespace clementineloom::scheduler
