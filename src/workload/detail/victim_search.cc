#include "clementineloom/workload/detail/victim_search.h"

#include <algorithm>
#include <limits>

#include "clementineloom/workload/detail/ends_soon.h"

namespace clementineloom::workload::detail {
namespace {

// Weight of an accelerator against a core in the price of lost work.
constexpr std::int64_t kCoresPerAccelerator = 8;
constexpr std::int64_t kMillicoresPerCore = 1'000;
// A service task loses no work, but its users feel the stop: batch work goes first.
constexpr std::int64_t kServiceCost = std::numeric_limits<std::int32_t>::max();
// A run that saves its progress loses about this much of it.
constexpr Milliseconds kUnsavedWork{500};

std::int64_t CostOf(const PlacedRun& run, const StepSpec& spec, SteadyTime now) {
  if (spec.runs_until_cancelled) {
    return kServiceCost;
  }
  auto lost = std::chrono::duration_cast<Milliseconds>(now - run.placed_at);
  if (spec.saves_checkpoints) {
    lost = std::min(lost, kUnsavedWork);
  }
  const std::int64_t cores = spec.per_task.cpu_millicores / kMillicoresPerCore +
                             kCoresPerAccelerator * spec.per_task.accelerators;
  const std::int64_t members = spec.is_gang ? spec.task_count : 1;
  // Counts at least a moment, so that fewer victims are better.
  return std::max<std::int64_t>(lost.count(), 1) * cores * members;
}

// Leaves out runs whose room is not needed after all, the dearest first.
void DropNeedless(std::vector<Victim>& chosen, Resources room, const Resources& needed) {
  for (auto it = chosen.end(); it != chosen.begin();) {
    --it;
    const Resources without = room - it->run->reserved;
    if (needed.FitsIn(without)) {
      room = without;
      it = chosen.erase(it);
    }
  }
}

}  // namespace

std::vector<Victim> VictimsOn(const PoolWorker& worker, std::uint32_t priority,
                              const JobTable& jobs, SteadyTime now, ServiceBudget& services) {
  std::vector<Victim> victims;
  for (const auto& [id, run] : worker.runs) {
    if (run.stage == RunStage::kStopping || run.priority <= priority || EndsSoon(run, now)) {
      continue;
    }
    const StepSpec* spec = jobs.FindStep(id.task.step);
    if (spec != nullptr && (!spec->runs_until_cancelled || services.Take(run))) {
      victims.push_back({&run, CostOf(run, *spec, now), spec->is_gang});
    }
  }
  std::stable_sort(victims.begin(), victims.end(),
                   [](const Victim& a, const Victim& b) { return a.cost < b.cost; });
  return victims;
}

std::optional<VictimSet> FindVictims(const WorkerRoom& room, const StartCandidate& step) {
  const StepSpec& spec = step.spec();
  const Resources needed = spec.Reserved();
  if (!needed.FitsIn(room.free_later + room.stoppable) ||
      (spec.max_per_worker > 0 && room.CountOf(step.step) >= spec.max_per_worker)) {
    return std::nullopt;
  }
  Resources freed = room.free_later;
  std::vector<Victim> chosen;
  for (const Victim& it : room.victims) {
    if (needed.FitsIn(freed)) {
      break;
    }
    freed = freed + it.run->reserved;
    chosen.push_back(it);
  }
  DropNeedless(chosen, freed, needed);
  VictimSet victims;
  for (const Victim& it : chosen) {
    victims.runs.push_back(it.run);
    victims.cost += it.cost;
  }
  return victims;
}

}  // namespace clementineloom::workload::detail
