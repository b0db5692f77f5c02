#pragma once

#include <cstdint>

namespace clementineloom::workload {

/// @brief Where a task stands. The numbers are stored and are never reused.
enum class TaskPhase : std::uint8_t {
  /// Not started yet, or its last run ended and it has to run again.
  kWaiting = 0,
  /// A start was recorded; the run may be on its worker.
  kPlaced = 1,
  kDone = 2,
};

}  // namespace clementineloom::workload
