#include "clementineloom/workload/detail/room_index.h"

#include "clementineloom/workload/detail/room_choice.h"

namespace clementineloom::workload::detail {

WorkerRoom* RoomIndex::Choose(const StartCandidate& step, const PlanRequest& request) const {
  // No rank is lower where no worker is known to be faster or slower than others.
  const bool knows_speeds = request.speeds != nullptr && !request.speeds->empty();
  WorkerRoom* best = nullptr;
  const Key first{step.spec().Reserved().accelerators, 0, nullptr};
  for (auto it = rooms_.lower_bound(first); it != rooms_.end(); ++it) {
    WorkerRoom& room = *it->room;
    if (!HasRoom(room, step) || !IsAllowed(room, step, request)) {
      continue;
    }
    const RoomRank rank = RankOf(room, step);
    if (!knows_speeds && rank == RoomRank{}) {
      return &room;
    }
    if (best == nullptr || rank < RankOf(*best, step)) {
      best = &room;
    }
  }
  return best;
}

}  // namespace clementineloom::workload::detail
