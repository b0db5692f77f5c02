#pragma once

#include <compare>

#include "clementineloom/model/log_offset.h"
#include "scheduler/monotonic_time.h"

namespace clementineloom::scheduler {

/// @brief What a peer knows about the tail of the stream. An immutable value.
struct PeerFreshness {
  /// The tail of the stream as the peer last saw it.
  LogOffset tail;
  /// A time at which the peer's view was certainly at that tail, on this process's clock.
  MonotonicTime at_tail;

  friend auto operator<=>(const PeerFreshness&, const PeerFreshness&) = default;
};

}  // namespace clementineloom::scheduler
