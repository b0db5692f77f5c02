#pragma once

#include <compare>
#include <cstdint>

namespace clementineloom::workload {

/// @brief An amount of processors, memory and accelerators. An immutable value.
struct Resources {
  /// Thousandths of a core.
  std::int64_t cpu_millicores = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  /// @brief Whether each part is at most that of the room.
  [[nodiscard]] constexpr bool FitsIn(const Resources& room) const {
    return cpu_millicores <= room.cpu_millicores && memory_mb <= room.memory_mb &&
           accelerators <= room.accelerators;
  }

  friend constexpr Resources operator+(const Resources& a, const Resources& b) {
    return {a.cpu_millicores + b.cpu_millicores, a.memory_mb + b.memory_mb,
            a.accelerators + b.accelerators};
  }
  friend constexpr Resources operator-(const Resources& a, const Resources& b) {
    return {a.cpu_millicores - b.cpu_millicores, a.memory_mb - b.memory_mb,
            a.accelerators - b.accelerators};
  }
  friend constexpr Resources operator*(const Resources& a, std::int64_t count) {
    return {a.cpu_millicores * count, a.memory_mb * count, a.accelerators * count};
  }
  friend auto operator<=>(const Resources&, const Resources&) = default;
};

}  // namespace clementineloom::workload
