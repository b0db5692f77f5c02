#pragma once

#include <compare>

#include "clementineloom/model/instant.h"
#include "scheduler/monotonic_time.h"

namespace clementineloom::scheduler {

/// @brief The time of an event on both clocks: monotonic for deadlines, wall time for records.
struct TimePair {
  MonotonicTime monotonic;
  Instant wall;

  friend auto operator<=>(const TimePair&, const TimePair&) = default;
};

/// @brief The current time on both clocks.
[[nodiscard]] inline TimePair CurrentTime() {
  return {std::chrono::steady_clock::now(),
          std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now())};
}

}  // namespace clementineloom::scheduler
