#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

#include "soak/still_judging.h"

namespace clementineloom::soak {

/// @brief The time in which no job may stand still beside room. An immutable value.
struct CalmWindow {
  std::int64_t from_ms = 0;
  std::int64_t to_ms = 0;
  /// When callers sent the last request.
  std::int64_t traffic_end_ms = 0;

  /// @brief The window of a run: it begins 4 s after the last fault, and unless the traffic is
  /// judged as well, not before the end of the traffic. Empty for kNever.
  [[nodiscard]] static CalmWindow Of(std::int64_t faults_end_ms, std::int64_t traffic_end_ms,
                                     std::int64_t end_ms, StillJudging judging) {
    constexpr std::int64_t kCalmBeforeMs = 4'000;
    const std::int64_t calm_ms = faults_end_ms + kCalmBeforeMs;
    switch (judging) {
      case StillJudging::kNever:
        return {end_ms, end_ms, traffic_end_ms};
      case StillJudging::kCalm:
        return {std::max(calm_ms, traffic_end_ms), end_ms, traffic_end_ms};
      case StillJudging::kTraffic:
        return {calm_ms, end_ms, traffic_end_ms};
    }
    return {};
  }

  friend auto operator<=>(const CalmWindow&, const CalmWindow&) = default;
};

}  // namespace clementineloom::soak
