#pragma once

#include <algorithm>

#include "clementineloom/model/instant.h"

namespace clementineloom::bench {

/// @brief The half-open interval [from, to).
struct TimeWindow {
  Instant from;
  Instant to;

  [[nodiscard]] Duration OverlapWith(const TimeWindow& other) const {
    const Duration overlap = std::min(to, other.to) - std::max(from, other.from);
    return std::max(overlap, Duration::zero());
  }

  friend auto operator<=>(const TimeWindow&, const TimeWindow&) = default;
};

}  // namespace clementineloom::bench
