#pragma once

#include <string>
#include <vector>

#include "clementineloom/workload/detail/room_table.h"
#include "clementineloom/workload/detail/start_candidate.h"
#include "clementineloom/workload/detail/worker_room.h"
#include "clementineloom/workload/plan_request.h"

namespace clementineloom::workload::detail {

/// @brief Whether rooms hold all waiting tasks of a step now. Thread safety: a pure function.
[[nodiscard]] bool HasRoomForAll(const StartCandidate& step, const std::vector<WorkerRoom*>& rooms,
                                 const PlanRequest& request);

/// @brief Whether any rack could hold all waiting tasks of a step if nothing else ran there.
/// Thread safety: a pure function.
[[nodiscard]] bool CanAnyRackHold(const StartCandidate& step, const RoomTable& rooms);

/// @brief Whether any eligible worker is on the rack of a step's data, regardless of its free room.
/// Thread safety: a pure function.
[[nodiscard]] bool HasDataRack(const StartCandidate& step, const RoomTable& rooms);

}  // namespace clementineloom::workload::detail
