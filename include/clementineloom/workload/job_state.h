#pragma once

#include <cstdint>

namespace clementineloom::workload {

/// @brief State of a job as callers see it. The numbers are stored and are never reused.
enum class JobState : std::uint8_t {
  kPending = 0,
  kRunning = 1,
  kCompleted = 2,
  kFailed = 3,
  kCancelled = 4,
};

}  // namespace clementineloom::workload
