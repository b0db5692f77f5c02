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

/// @brief Whether the fleet could hold all waiting tasks of a step if nothing else ran there.
/// Thread safety: a pure function.
[[nodiscard]] bool CanFleetHold(const StartCandidate& step, const RoomTable& rooms);

/// @brief Whether any rack could hold all waiting tasks of a step if nothing else ran there.
/// Thread safety: a pure function.
[[nodiscard]] bool CanAnyRackHold(const StartCandidate& step, const RoomTable& rooms);

/// @brief Whether the rack of a step's data could hold a task of the step, or all of a gang, if
/// nothing else ran there. Thread safety: a pure function.
[[nodiscard]] bool CanDataRackHold(const StartCandidate& step, const RoomTable& rooms);

}  // namespace clementineloom::workload::detail
