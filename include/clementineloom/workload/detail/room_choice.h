#pragma once

#include <cstdint>
#include <vector>

#include "clementineloom/workload/detail/room_rank.h"
#include "clementineloom/workload/detail/start_candidate.h"
#include "clementineloom/workload/detail/worker_room.h"
#include "clementineloom/workload/plan_request.h"

namespace clementineloom::workload::detail {

/// @brief Whether a step may run on a worker, whatever room is free there.
[[nodiscard]] bool IsEligible(const PoolWorker& worker, const StartCandidate& step);

/// @brief Whether a step may take room that is kept for urgent work: it is urgent itself, a
/// service whose tasks have to be available at all times, or has waited for too long.
[[nodiscard]] bool MayUseReserve(const StartCandidate& step);

/// @brief Whether a step may run on a worker and has the advice that its queue needs.
[[nodiscard]] bool IsAllowed(const WorkerRoom& room, const StartCandidate& step,
                             const PlanRequest& request);

/// @brief Whether one more task of a step fits into a worker's room.
[[nodiscard]] bool HasRoom(const WorkerRoom& room, const StartCandidate& step);

/// @brief How many more tasks of a step fit into a worker's room.
/// @param room_left free room of the worker, now or later
[[nodiscard]] std::int64_t FitCount(const WorkerRoom& room, const Resources& room_left,
                                    const StartCandidate& step);

/// @brief How well a worker suits a step, apart from the room that is left there. Fill tasks and
/// service tasks are kept apart first; then urgent work uses the room that is kept for it, and
/// services leave it.
[[nodiscard]] RoomRank RankOf(const WorkerRoom& room, const StartCandidate& step);

/// @brief The best worker of a few for one more task of a step, or null. Complexity: linear.
[[nodiscard]] WorkerRoom* ChooseRoom(const std::vector<WorkerRoom*>& rooms,
                                     const StartCandidate& step, const PlanRequest& request);

}  // namespace clementineloom::workload::detail
