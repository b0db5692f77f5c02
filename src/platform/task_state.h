#pragma once

#include <cstdint>

namespace clementineloom::platform {

/// @brief State of a task at its worker.
///
/// kLapsed: the reservation ended before a start. kLeaseExpired: no renewal arrived in time, and
/// the worker checkpointed and stopped the task. Only kReserved and kRunning hold accelerators.
enum class TaskState : std::uint8_t {
  kReserved,
  kRunning,
  kSucceeded,
  kFailed,
  kStopped,
  kLapsed,
  kLeaseExpired
};

/// @brief Whether a task in this state still holds accelerators.
[[nodiscard]] constexpr bool HoldsAccelerators(TaskState state) {
  return state == TaskState::kReserved || state == TaskState::kRunning;
}

}  // namespace clementineloom::platform
