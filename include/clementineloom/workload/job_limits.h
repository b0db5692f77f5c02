#pragma once

#include <cstdint>

namespace clementineloom::workload {

/// @brief The largest job, which keeps one job from using up an instance's memory.
struct JobLimits {
  static constexpr std::uint32_t kTasksOfAStep = 10'000;
  static constexpr std::uint32_t kOccurrences = 10'000;
  static constexpr std::uint32_t kSteps = 1'000;
};

}  // namespace clementineloom::workload
