#pragma once

#include <concepts>
#include <cstddef>
#include <optional>
#include <span>

#include "ctl/trace/timeline_line.h"

namespace clementineloom::ctl::trace {

/// @brief Index of the last line in front of `end` that fulfils a condition, or nothing.
/// Precondition: end is at most the number of lines. Thread safety: that of the condition.
template <std::predicate<const TimelineLine&> Condition>
[[nodiscard]] std::optional<std::size_t> FindLastBefore(std::span<const TimelineLine> timeline,
                                                        std::size_t end, Condition condition) {
  for (std::size_t n = end; n > 0; --n) {
    if (condition(timeline[n - 1])) {
      return n - 1;
    }
  }
  return std::nullopt;
}

/// @brief Index of the first line after `begin` that fulfils a condition, or nothing.
/// Thread safety: that of the condition.
template <std::predicate<const TimelineLine&> Condition>
[[nodiscard]] std::optional<std::size_t> FindFirstAfter(std::span<const TimelineLine> timeline,
                                                        std::size_t begin, Condition condition) {
  for (std::size_t n = begin + 1; n < timeline.size(); ++n) {
    if (condition(timeline[n])) {
      return n;
    }
  }
  return std::nullopt;
}

}  // namespace clementineloom::ctl::trace
