#include "clementineloom/workload/detail/room_choice.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <tuple>

namespace clementineloom::workload::detail {
namespace {

// Lower is better: the rank, then the tightest fit.
std::tuple<RoomRank, std::int64_t, std::int64_t> CostOf(const WorkerRoom& room,
                                                        const StartCandidate& step) {
  return {RankOf(room, step), room.free.accelerators, room.free.cpu_millicores};
}

// A step whose objective leaves less than half of its run time as slack needs speed.
constexpr double kTightSpeed = 0.5;

bool HasDisturbingKind(const WorkerRoom& room, const StartCandidate& step) {
  return std::any_of(step.disturbing_kinds.begin(), step.disturbing_kinds.end(),
                     [&](const std::string& it) { return room.kinds.contains(it); });
}

int SpeedRank(const WorkerRoom& room, const StartCandidate& step) {
  const int faster = static_cast<int>(room.speed > 1) - static_cast<int>(room.speed < 1);
  return step.min_speed >= kTightSpeed ? -faster : faster;
}

}  // namespace

bool IsEligible(const PoolWorker& worker, const StartCandidate& step) {
  return step.job->MayRunOn(worker.info, step.step.step);
}

bool MayUseReserve(const StartCandidate& step) {
  return step.priority() == kPreemptingPriority || step.spec().runs_until_cancelled ||
         step.takes_reserved_room;
}

bool HasRoom(const WorkerRoom& room, const StartCandidate& step) {
  return FitCount(room, room.free, step) > 0;
}

bool IsAllowed(const WorkerRoom& room, const StartCandidate& step, const PlanRequest& request) {
  if (!IsEligible(*room.worker, step) || (room.is_reserved && !MayUseReserve(step))) {
    return false;
  }
  if (step.avoids_slow_workers && room.speed < step.min_speed) {
    return false;
  }
  return !step.job->submission->queue.needs_advice ||
         !request.advice.Ticket(step.step, room.worker->info.id, request.now).empty();
}

std::int64_t FitCount(const WorkerRoom& room, const Resources& room_left,
                      const StartCandidate& step) {
  const StepSpec& spec = step.spec();
  const Resources needed = spec.Reserved();
  // Checked first because most workers of a busy fleet have no room. Claims may make the free
  // amount of a resource negative; then not even a task that needs none of it fits.
  if (!needed.FitsIn(room_left)) {
    return 0;
  }
  std::int64_t count = spec.task_count;
  if (spec.max_per_worker > 0) {
    count = std::min(count, std::int64_t{spec.max_per_worker} - room.CountOf(step.step));
  }
  const auto limit = [&count](std::int64_t left, std::int64_t need) {
    count = need > 0 ? std::min(count, left / need) : count;
  };
  limit(room_left.cpu_millicores, needed.cpu_millicores);
  limit(room_left.memory_mb, needed.memory_mb);
  limit(room_left.accelerators, needed.accelerators);
  return std::max<std::int64_t>(count, 0);
}

RoomRank RankOf(const WorkerRoom& room, const StartCandidate& step) {
  const StepSpec& spec = step.spec();
  const bool interferes = (spec.fills_idle_cpu && room.has_service_tasks) ||
                          (spec.tail_target_ms > 0 && room.has_fill_tasks) ||
                          HasDisturbingKind(room, step);
  const bool is_urgent = step.priority() == kPreemptingPriority;
  return {interferes, room.speed < step.min_speed, room.is_reserved != is_urgent,
          SpeedRank(room, step)};
}

WorkerRoom* ChooseRoom(const std::vector<WorkerRoom*>& rooms, const StartCandidate& step,
                       const PlanRequest& request) {
  WorkerRoom* best = nullptr;
  for (WorkerRoom* it : rooms) {
    // The cheapest check comes first: most workers of a busy fleet have no room.
    if (!HasRoom(*it, step) || !IsAllowed(*it, step, request)) {
      continue;
    }
    if (best == nullptr || CostOf(*it, step) < CostOf(*best, step)) {
      best = it;
    }
  }
  return best;
}

}  // namespace clementineloom::workload::detail
