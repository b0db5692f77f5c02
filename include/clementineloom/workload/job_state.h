#pragma once

#include <cstdint>
#include <string_view>

namespace clementineloom::workload {

/// @brief State of a job as callers see it. The numbers are stored and are never reused.
enum class JobState : std::uint8_t {
  kPending = 0,
  kRunning = 1,
  kCompleted = 2,
  kFailed = 3,
  kCancelled = 4,
};

/// @brief Name of a state in metrics.
[[nodiscard]] constexpr std::string_view JobStateName(JobState state) {
  switch (state) {
    case JobState::kPending:
      return "pending";
    case JobState::kRunning:
      return "running";
    case JobState::kCompleted:
      return "completed";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "";
}

}  // namespace clementineloom::workload
