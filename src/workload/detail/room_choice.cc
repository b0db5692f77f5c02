#include "clementineloom/workload/detail/room_choice.h"

#include <cstdint>
#include <tuple>

namespace clementineloom::workload::detail {
namespace {

// Lower is better: tasks that fill and tasks that serve apart, then the tightest fit.
std::tuple<bool, std::int64_t, std::int64_t> CostOf(const WorkerRoom& room, const StepSpec& spec) {
  const bool disturbs = (spec.fills_idle_cpu && room.has_service_tasks) ||
                        (spec.tail_target_ms > 0 && room.has_fill_tasks);
  return {disturbs, room.free.accelerators, room.free.cpu_millicores};
}

}  // namespace

bool IsEligible(const PoolWorker& worker, const StartCandidate& step) {
  const StepSpec& spec = step.spec();
  return worker.info.service == step.job->submission->queue.service &&
         (spec.required_label.empty() || worker.info.HasLabel(spec.required_label));
}

bool HasRoom(const WorkerRoom& room, const StartCandidate& step) {
  const StepSpec& spec = step.spec();
  return spec.Reserved().FitsIn(room.free) &&
         (spec.max_per_worker == 0 || room.CountOf(step.step) < spec.max_per_worker);
}

bool IsAllowed(const WorkerRoom& room, const StartCandidate& step, const RoomFilter& filter) {
  const WorkerInfo& worker = room.worker->info;
  if (!filter.rack.empty() && worker.rack != filter.rack) {
    return false;
  }
  return !step.job->submission->queue.needs_advice ||
         !filter.advice.Ticket(step.step, worker.id, filter.now).empty();
}

WorkerRoom* ChooseRoom(std::vector<WorkerRoom>& rooms, const StartCandidate& step,
                       const RoomFilter& filter) {
  WorkerRoom* best = nullptr;
  for (WorkerRoom& it : rooms) {
    if (!IsAllowed(it, step, filter) || !IsEligible(*it.worker, step) || !HasRoom(it, step)) {
      continue;
    }
    if (best == nullptr || CostOf(it, step.spec()) < CostOf(*best, step.spec())) {
      best = &it;
    }
  }
  return best;
}

}  // namespace clementineloom::workload::detail
