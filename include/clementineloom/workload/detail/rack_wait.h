#pragma once

#include <cstdint>

#include "clementineloom/workload/detail/room_table.h"
#include "clementineloom/workload/detail/start_candidate.h"

namespace clementineloom::workload::detail {

/// @brief How much longer a step waits for room near its data or on one rack, in ms; 0 once it
/// takes any room. Thread safety: a pure function.
[[nodiscard]] std::int64_t RackWaitLeftMs(const StartCandidate& step, std::int64_t unix_now_ms);

/// @brief Whether a step waits for the rack of its data while that has no room.
/// Thread safety: a pure function.
[[nodiscard]] bool WaitsForDataRack(const StartCandidate& step, const RoomTable& rooms,
                                    std::int64_t unix_now_ms);

/// @brief Whether a step waits for one rack while none has room for all its tasks.
/// Thread safety: a pure function.
[[nodiscard]] bool WaitsForOneRack(const StartCandidate& step, const RoomTable& rooms,
                                   std::int64_t unix_now_ms);

}  // namespace clementineloom::workload::detail
