#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace clementineloom::soak {

/// @brief What the jobs of a queue look like. An immutable value.
struct JobShapes {
  std::size_t max_count = 1;
  std::size_t min_gang = 1;
  std::size_t max_gang = 1;
  /// Shares of steps, in percent. Those of one rack are shares of the gangs.
  unsigned gang_percent = 0;
  unsigned one_rack_percent = 0;
  unsigned data_percent = 0;
  unsigned label_percent = 0;
  unsigned two_steps_percent = 0;
  std::int64_t cpu_millicores = 0;
  std::int64_t memory_mb = 0;
  /// Accelerators of a task, one of these.
  std::vector<std::int64_t> accelerators{};
  std::uint64_t min_work_ms = 0;
  std::uint64_t max_work_ms = 0;

  /// @brief Wide gangs, one task on a worker, because two exceed its memory.
  [[nodiscard]] static JobShapes Standard() {
    return {.max_count = 12,
            .min_gang = 6,
            .max_gang = 30,
            .gang_percent = 70,
            .one_rack_percent = 60,
            .data_percent = 30,
            .label_percent = 30,
            .two_steps_percent = 20,
            .cpu_millicores = 52'000,
            .memory_mb = 140'000,
            .accelerators = {1, 2, 4, 8, 8},
            .min_work_ms = 2'000,
            .max_work_ms = 8'000};
  }
  /// @brief Short gangs.
  [[nodiscard]] static JobShapes Urgent() {
    return {.min_gang = 1,
            .max_gang = 10,
            .gang_percent = 100,
            .one_rack_percent = 80,
            .cpu_millicores = 15'000,
            .memory_mb = 31'000,
            .accelerators = {1, 2, 4, 8, 8},
            .min_work_ms = 500,
            .max_work_ms = 4'000};
  }
  /// @brief Many small tasks, five of which leave too little memory for a task of Standard.
  [[nodiscard]] static JobShapes Batch() {
    return {.max_count = 30,
            .data_percent = 10,
            .label_percent = 12,
            .two_steps_percent = 30,
            .cpu_millicores = 11'000,
            .memory_mb = 29'000,
            .accelerators = {1},
            .min_work_ms = 2'000,
            .max_work_ms = 8'000};
  }

  friend auto operator<=>(const JobShapes&, const JobShapes&) = default;
};

}  // namespace clementineloom::soak
