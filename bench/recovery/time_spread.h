#pragma once

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace clementineloom::bench {

/// @brief Median and greatest value of a time over the runs in which it was measured. An immutable
/// value.
struct TimeSpread {
  /// Absent if it was measured in no run. The median is the lower one of two.
  std::optional<std::int64_t> p50_ms;
  std::optional<std::int64_t> max_ms;

  [[nodiscard]] static TimeSpread Of(std::vector<std::int64_t> times) {
    if (times.empty()) {
      return {};
    }
    std::sort(times.begin(), times.end());
    return {times[(times.size() - 1) / 2], times.back()};
  }

  friend auto operator<=>(const TimeSpread&, const TimeSpread&) = default;
};

}  // namespace clementineloom::bench
