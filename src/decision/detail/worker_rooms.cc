#include "clementineloom/decision/detail/worker_rooms.h"

#include <algorithm>
#include <utility>

#include "clementineloom/decision/detail/cell_charge.h"

namespace clementineloom::detail {
namespace {

std::int32_t ChargeOf(const ClusterState& state, const JobEntry& job) {
  if (job.kind != CapacityKind::kGuaranteed) {
    return 0;
  }
  const auto& guarantees = state.team(job.team).team.guarantees();
  return CellCharge(guarantees[job.guarantee_index].shape(), job.spec->shape());
}

std::int32_t RoomOutsideCells(const WorkerRoom& room) {
  return std::max(room.capacity - room.charged, 0);
}

std::uint32_t NonNegative(std::int32_t value) {
  return static_cast<std::uint32_t>(std::max(value, 0));
}

}  // namespace

void WorkerRooms::Rebuild(const ClusterState& state) {
  total_room_ = 0;
  to_vacate_.clear();
  rooms_.assign(state.workers().size(), WorkerRoom());
  open_.Reset(state);
  free_.Reset(state);
  slack_.Reset(state);
  configured_.Reset(state);
  for (std::uint32_t n = 0; n < rooms_.size(); ++n) {
    (void)Refresh(state, WorkerId(n));
  }
}

bool WorkerRooms::Refresh(const ClusterState& state, WorkerId worker) {
  if (worker.value() >= rooms_.size()) {
    rooms_.resize(worker.value() + 1);
  }
  const WorkerRoom& room = rooms_[worker.value()];
  const std::pair before(room.capacity, room.rack);
  Read(state, worker);
  Index(state, worker);
  return before != std::pair(room.capacity, room.rack);
}

void WorkerRooms::Read(const ClusterState& state, WorkerId worker) {
  const WorkerEntry& entry = state.worker(worker);
  WorkerRoom& room = rooms_[worker.value()];
  total_room_ -= RoomOutsideCells(room);
  room.rack = entry.rack;
  room.capacity = state.IsPlaceable(worker) ? entry.accelerators : 0;
  room.free = entry.free_accelerators;
  room.charged = 0;
  for (const JobId job : entry.jobs) {
    room.charged += ChargeOf(state, *state.FindJob(job));
  }
  total_room_ += RoomOutsideCells(room);
  const bool is_leaving = entry.condition == WorkerCondition::kLeaving ||
                          entry.condition == WorkerCondition::kLost ||
                          !state.data_centre(entry.data_centre).data_centre.in_service();
  if (is_leaving && !entry.jobs.empty()) {
    to_vacate_.insert(worker);
  } else {
    to_vacate_.erase(worker);
  }
}

void WorkerRooms::Take(const ClusterState& state, WorkerId worker, std::int32_t accelerators,
                       std::int32_t charge) {
  WorkerRoom& room = rooms_[worker.value()];
  total_room_ -= RoomOutsideCells(room);
  room.free -= accelerators;
  room.charged += charge;
  total_room_ += RoomOutsideCells(room);
  Index(state, worker);
}

void WorkerRooms::Reserve(const ClusterState& state, WorkerId worker, const CellKey& cell,
                          std::int32_t accelerators) {
  WorkerRoom& room = rooms_[worker.value()];
  room.reserved += accelerators;
  room.bound.push_back(cell);
  Index(state, worker);
}

void WorkerRooms::Unreserve(const ClusterState& state, WorkerId worker, const CellKey& cell,
                            std::int32_t accelerators) {
  WorkerRoom& room = rooms_[worker.value()];
  room.reserved -= accelerators;
  room.bound.erase(std::ranges::find(room.bound, cell));
  Index(state, worker);
}

bool WorkerRooms::IsOverbooked(WorkerId worker) const {
  const WorkerRoom& room = rooms_[worker.value()];
  return room.reserved > 0 && room.charged + room.reserved > room.capacity;
}

void WorkerRooms::Index(const ClusterState& state, WorkerId worker) {
  const WorkerRoom& room = rooms_[worker.value()];
  const std::int32_t slack = room.capacity - room.charged - room.reserved;
  const std::int32_t free = room.capacity > 0 ? room.free : 0;
  open_.Set(state, worker, NonNegative(std::min(slack, free)));
  free_.Set(state, worker, NonNegative(free));
  slack_.Set(state, worker, NonNegative(slack));
  // Lost workers count too: a failed instance is usually replaced within minutes, and a job that
  // waits for it must not be refused permanently.
  configured_.Set(state, worker, state.worker(worker).accelerators);
}

}  // namespace clementineloom::detail
