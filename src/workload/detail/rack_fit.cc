#include "clementineloom/workload/detail/rack_fit.h"

#include <algorithm>
#include <cstdint>

#include "clementineloom/workload/detail/room_choice.h"

namespace clementineloom::workload::detail {
namespace {

// Whether rooms hold all waiting tasks of a step, by the count for each room.
template <class Count>
bool AreEnough(const StartCandidate& step, const std::vector<WorkerRoom*>& rooms, Count count) {
  auto missing = static_cast<std::int64_t>(step.task_indexes.size());
  for (auto it = rooms.begin(); it != rooms.end() && missing > 0; ++it) {
    missing -= count(**it);
  }
  return missing <= 0;
}

// The tasks of a step that a worker could hold if nothing else ran there.
std::int64_t CountInEmpty(const WorkerRoom& room, const StartCandidate& step) {
  return IsEligible(*room.worker, step) ? FitCount(room, room.worker->info.capacity, step) : 0;
}

}  // namespace

bool HasRoomForAll(const StartCandidate& step, const std::vector<WorkerRoom*>& rooms,
                   const PlanRequest& request) {
  return AreEnough(step, rooms, [&](const WorkerRoom& it) {
    const std::int64_t count = FitCount(it, it.free, step);
    return count > 0 && IsAllowed(it, step, request) ? count : 0;
  });
}

bool CanFleetHold(const StartCandidate& step, const RoomTable& rooms) {
  return AreEnough(step, rooms.On({}),
                   [&](const WorkerRoom& it) { return CountInEmpty(it, step); });
}

bool CanAnyRackHold(const StartCandidate& step, const RoomTable& rooms) {
  return std::any_of(rooms.racks().begin(), rooms.racks().end(), [&](const auto& rack) {
    return AreEnough(step, rack.second.rooms,
                     [&](const WorkerRoom& it) { return CountInEmpty(it, step); });
  });
}

bool CanDataRackHold(const StartCandidate& step, const RoomTable& rooms) {
  const std::vector<WorkerRoom*>& on_rack = rooms.On(step.spec().data_rack);
  const auto count = [&](const WorkerRoom& it) { return CountInEmpty(it, step); };
  return step.spec().is_gang ? AreEnough(step, on_rack, count)
                             : std::any_of(on_rack.begin(), on_rack.end(),
                                           [&](const WorkerRoom* it) { return count(*it) > 0; });
}

}  // namespace clementineloom::workload::detail
