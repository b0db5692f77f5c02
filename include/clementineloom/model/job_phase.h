#pragma once

#include <cstdint>

namespace clementineloom {

/// @brief Phase of a job.
///
/// kWaiting -> kPlaced (accelerators held) -> kRunning (all workers confirmed) -> kEnded.
/// kStopping holds accelerators until every worker is known to have stopped, then kWaiting or
/// kEnded.
enum class JobPhase : std::uint8_t { kWaiting, kPlaced, kRunning, kStopping, kEnded };

}  // namespace clementineloom
