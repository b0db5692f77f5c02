#include "clementineloom/workload/detail/room_table.h"

#include <algorithm>

#include "clementineloom/workload/detail/ends_soon.h"
#include "clementineloom/workload/detail/rack_reserve.h"
#include "clementineloom/workload/detail/victim_search.h"
#include "clementineloom/workload/task_kind.h"

namespace clementineloom::workload::detail {
namespace {

// Most of a fleet that is kept idle for urgent work. Less than half, so that waiting work always
// gets most of what urgent work does not use.
constexpr std::int64_t kMaxIdleReservePercent = 40;

// Urgent work seldom meets its objective on slower workers.
constexpr double kMinReserveSpeed = 0.7;

double SpeedOf(const PoolWorker& worker, const WorkerSpeeds* speeds) {
  if (speeds == nullptr) {
    return 1;
  }
  const auto it = speeds->find(worker.info.id);
  return it == speeds->end() ? 1 : it->second;
}

bool MayReserve(const WorkerRoom& room, const std::string& service) {
  return room.worker->info.service == service && room.speed >= kMinReserveSpeed;
}

std::set<std::string> KindsOn(const PoolWorker& worker, const JobTable& jobs) {
  std::set<std::string> kinds;
  for (const auto& [run, placed] : worker.runs) {
    if (const std::string* kind = KindOfRun(run, jobs)) {
      kinds.insert(*kind);
    }
  }
  return kinds;
}

WorkerRoom RoomOf(const PoolWorker& worker, const PlanRequest& request) {
  const SteadyTime now = request.now;
  WorkerRoom room;
  room.worker = &worker;
  room.speed = SpeedOf(worker, request.speeds);
  if (request.interference != nullptr && !request.interference->empty()) {
    room.kinds = KindsOn(worker, request.jobs);
  }
  room.free = worker.Free();
  room.free_later = room.free;
  for (const auto& [run, placed] : worker.runs) {
    room.has_service_tasks = room.has_service_tasks || placed.tail_target_ms > 0;
    room.has_fill_tasks = room.has_fill_tasks || placed.fills_idle_cpu;
    const bool is_being_stopped =
        placed.stage == RunStage::kStopping && !placed.start_copies.IsLate(now);
    if (is_being_stopped || EndsSoon(placed, now)) {
      room.free_later = room.free_later + placed.reserved;
    }
    if (placed.stage != RunStage::kStopping) {
      std::int64_t& held = placed.priority == kPreemptingPriority ? room.urgent_accelerators
                                                                  : room.less_urgent_accelerators;
      held += placed.reserved.accelerators;
    }
  }
  return room;
}

}  // namespace

RoomTable::RoomTable(const PlanRequest& request) : request_(request) {
  rooms_.reserve(request.workers.size());
  for (const auto& [id, worker] : request.workers) {
    if (worker.TakesRuns(request.now) && !request.evacuated.contains(worker.info.data_centre)) {
      rooms_.push_back(RoomOf(worker, request));
    }
  }
  for (WorkerRoom& it : rooms_) {
    all_.push_back(&it);
    it.rack = &racks_[it.worker->info.rack];
    it.rack->rooms.push_back(&it);
    Count(it);
  }
  for (const auto& [service, accelerators] : request.urgent_reserve) {
    Reserve(service, accelerators);
  }
}

void RoomTable::Count(WorkerRoom& room) {
  const auto free = std::max<std::int64_t>(room.free.accelerators, 0);
  index_.Add(room);
  room.rack->free_accelerators += free;
  free_accelerators_ += free;
}

void RoomTable::Discount(WorkerRoom& room) {
  const auto free = std::max<std::int64_t>(room.free.accelerators, 0);
  index_.Remove(room);
  room.rack->free_accelerators -= free;
  free_accelerators_ -= free;
}

void RoomTable::Reserve(const std::string& service, std::int64_t accelerators) {
  std::vector<RackLoad> loads;
  std::int64_t total = 0;
  std::int64_t urgent = 0;
  for (const auto& [name, rack] : racks_) {
    RackLoad load{name, 0, 0};
    for (const WorkerRoom* it : rack.rooms) {
      if (MayReserve(*it, service)) {
        load.accelerators += it->worker->info.capacity.accelerators;
        load.less_urgent += it->less_urgent_accelerators;
        urgent += it->urgent_accelerators;
      }
    }
    total += load.accelerators;
    loads.push_back(std::move(load));
  }
  const std::int64_t most = urgent + total * kMaxIdleReservePercent / 100;
  for (auto [rack, left] : ChooseRackReserve(std::move(loads), std::min(accelerators, most))) {
    std::vector<WorkerRoom*> rooms = racks_.at(rack).rooms;
    std::stable_sort(rooms.begin(), rooms.end(), [](const WorkerRoom* a, const WorkerRoom* b) {
      return a->less_urgent_accelerators < b->less_urgent_accelerators;
    });
    // Whole workers only, and never more than the limit.
    for (WorkerRoom* it : rooms) {
      const std::int64_t capacity = it->worker->info.capacity.accelerators;
      if (MayReserve(*it, service) && capacity <= left) {
        it->is_reserved = true;
        left -= capacity;
      }
    }
  }
}

const std::vector<WorkerRoom*>& RoomTable::On(const std::string& rack) const {
  static const std::vector<WorkerRoom*> none;
  if (rack.empty()) {
    return all_;
  }
  const auto it = racks_.find(rack);
  return it == racks_.end() ? none : it->second.rooms;
}

WorkerRoom* RoomTable::Find(const std::string& worker) const {
  // The rooms are in the order of the workers' ids.
  const auto it = std::lower_bound(
      all_.begin(), all_.end(), worker,
      [](const WorkerRoom* room, const std::string& id) { return room->worker->info.id < id; });
  return it == all_.end() || (*it)->worker->info.id != worker ? nullptr : *it;
}

void RoomTable::Take(WorkerRoom& room, const StartCandidate& step) {
  Discount(room);
  room.Take(step.step, step.spec());
  if (!step.disturbing_kinds.empty()) {
    room.kinds.insert(TaskKind(*step.job->submission, step.spec()));
  }
  Count(room);
}

void RoomTable::Hold(WorkerRoom& room, const Resources& amount) {
  Discount(room);
  room.Hold(amount);
  Count(room);
}

void RoomTable::ListVictims(const GuaranteeTable& guarantees, const TeamUsageTable& usage) {
  if (std::exchange(has_victims_, true)) {
    return;
  }
  DisruptionBudget disruptions(request_);
  for (WorkerRoom& room : rooms_) {
    for (const Victim& it : VictimsOn(*room.worker, request_, guarantees, usage, disruptions)) {
      room.AddVictim(it);
      if (it.is_gang_member) {
        gangs_[{it.run->run.task.step, it.run->run.run}].emplace_back(&room, it.run);
      }
    }
  }
}

std::vector<WorkerRoom*> RoomTable::Stop(WorkerRoom& room, const PlacedRun& run) {
  std::vector<WorkerRoom*> changed{&room};
  room.Stop(run);
  const auto members = gangs_.find({run.run.task.step, run.run.run});
  if (members == gangs_.end()) {
    return changed;
  }
  for (const auto& [other, member] : members->second) {
    if (other->Stop(*member)) {
      changed.push_back(other);
    }
  }
  return changed;
}

}  // namespace clementineloom::workload::detail
