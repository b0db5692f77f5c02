#pragma once

#include <cstdint>

namespace clementineloom::workload {

/// @brief Limits on the size of a job, so that one job cannot exhaust an instance's memory.
struct JobLimits {
  static constexpr std::uint32_t kTasksPerStep = 10'000;
  static constexpr std::uint32_t kOccurrences = 10'000;
  static constexpr std::uint32_t kSteps = 1'000;
};

}  // namespace clementineloom::workload
