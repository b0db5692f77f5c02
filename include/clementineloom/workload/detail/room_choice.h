#pragma once

#include <string>
#include <vector>

#include "clementineloom/workload/advice_book.h"
#include "clementineloom/workload/detail/start_candidate.h"
#include "clementineloom/workload/detail/worker_room.h"

namespace clementineloom::workload::detail {

/// @brief Narrows the workers of a step beyond the step's own demands.
struct RoomFilter {
  /// Rack to stay on; empty for any.
  std::string rack;
  const AdviceBook& advice;
  SteadyTime now;
};

/// @brief Whether a step may run on a worker, whatever room is free there.
[[nodiscard]] bool IsEligible(const PoolWorker& worker, const StartCandidate& step);

/// @brief Whether one more task of a step fits into a worker's room.
[[nodiscard]] bool HasRoom(const WorkerRoom& room, const StartCandidate& step);

/// @brief Whether the filter lets a step use a worker, whatever room is free there.
[[nodiscard]] bool IsAllowed(const WorkerRoom& room, const StartCandidate& step,
                             const RoomFilter& filter);

/// @brief The best worker for one more task of a step, or null.
[[nodiscard]] WorkerRoom* ChooseRoom(std::vector<WorkerRoom>& rooms, const StartCandidate& step,
                                     const RoomFilter& filter);

}  // namespace clementineloom::workload::detail
