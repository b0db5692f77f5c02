#include "clementineloom/workload/detail/victim_search.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "clementineloom/workload/detail/ends_soon.h"

namespace clementineloom::workload::detail {
namespace {

// Weight of an accelerator against a core in the cost of lost work.
constexpr std::int64_t kCoresPerAccelerator = 8;
constexpr std::int64_t kMillicoresPerCore = 1'000;
// A service task loses no work, but stopping it affects its users, so batch runs are stopped first.
constexpr std::int64_t kServiceCost = std::numeric_limits<std::int32_t>::max();
// What each stop costs besides the work that is lost: the run holds its room without progress while
// it is stopped, started again and resumed from its checkpoint.
constexpr Milliseconds kRestartTime{600};

// A stop saves a checkpoint, but not while the run is still resuming from the last one. Until it
// has saved one itself, all of its time counts as lost.
Milliseconds LostTime(const PlacedRun& run, const StepSpec& spec, SteadyTime now) {
  if (spec.saves_checkpoints && run.saved_at) {
    return kRestartTime;
  }
  return kRestartTime + std::chrono::duration_cast<Milliseconds>(now - run.placed_at);
}

std::int64_t LostWork(const PlacedRun& run, const StepSpec& spec, SteadyTime now) {
  if (spec.runs_until_cancelled) {
    return kServiceCost;
  }
  const std::int64_t cores = spec.per_task.cpu_millicores / kMillicoresPerCore +
                             kCoresPerAccelerator * spec.per_task.accelerators;
  const std::int64_t members = spec.is_gang ? spec.task_count : 1;
  // A task that was stopped before is spared in favour of others, so that it ends at some time.
  const auto starts = static_cast<std::int64_t>(run.run.run);
  return LostTime(run, spec, now).count() * std::max<std::int64_t>(cores * members, 1) * starts;
}

StopCost CostOfOtherWork(std::int64_t lost, const JobEntry& job, const StepSpec& spec,
                         const TeamUsageTable& usage) {
  const auto team = usage.has_weights() ? usage.TeamOf(job) : std::nullopt;
  // Service tasks stay behind the batch runs of all teams.
  const bool is_within_share = team && (spec.runs_until_cancelled || !usage.IsAboveShare(*team));
  return {0, 0, is_within_share ? lost : 0, lost};
}

// The run as a victim, or nothing if it may not be stopped at all.
std::optional<Victim> VictimOf(const PlacedRun& run, const JobEntry& job, const StepSpec& spec,
                               const PlanRequest& request, const GuaranteeTable& guarantees,
                               const TeamUsageTable& usage) {
  const std::int64_t lost = LostWork(run, spec, request.now);
  if (run.priority > kPreemptingPriority) {
    return Victim{&run, CostOfOtherWork(lost, job, spec, usage), spec.is_gang, {}, 0};
  }
  const auto team = guarantees.TeamOf(job);
  if (!team || !guarantees.shares()[*team].MayLoseRunAfter(0)) {
    return std::nullopt;
  }
  const std::int64_t accelerators =
      spec.per_task.accelerators * (spec.is_gang ? spec.task_count : 1);
  const std::int64_t guaranteed = guarantees.shares()[*team].GuaranteedPartOf(accelerators);
  return Victim{&run, {guaranteed, lost, 0, 0}, spec.is_gang, team, accelerators};
}

// Drops runs whose room is not needed after all, the most expensive first.
void DropUnneeded(std::vector<const Victim*>& chosen, Resources room, const Resources& needed) {
  for (auto it = chosen.end(); it != chosen.begin();) {
    --it;
    const Resources without = room - (*it)->run->reserved;
    if (needed.FitsIn(without)) {
      room = without;
      it = chosen.erase(it);
    }
  }
}

}  // namespace

std::vector<Victim> VictimsOn(const PoolWorker& worker, const PlanRequest& request,
                              const GuaranteeTable& guarantees, const TeamUsageTable& usage,
                              DisruptionBudget& disruptions) {
  std::vector<Victim> victims;
  for (const auto& [id, run] : worker.runs) {
    if (run.stage == RunStage::kStopping || EndsSoon(run, request.now)) {
      continue;
    }
    const JobEntry* job = request.jobs.Find(id.task.step.job);
    const StepSpec* spec = job == nullptr ? nullptr : job->FindStep(id.task.step.step);
    if (spec == nullptr) {
      continue;
    }
    const auto victim = VictimOf(run, *job, *spec, request, guarantees, usage);
    if (victim && (!spec->runs_until_cancelled || disruptions.Take(run))) {
      victims.push_back(*victim);
    }
  }
  std::stable_sort(victims.begin(), victims.end(),
                   [](const Victim& a, const Victim& b) { return a.cost < b.cost; });
  return victims;
}

std::optional<VictimSet> FindVictims(const WorkerRoom& room, const StartCandidate& step,
                                     const ReclaimBudget& budget, const StopCost* limit) {
  const StepSpec& spec = step.spec();
  const Resources needed = spec.Reserved();
  if (!needed.FitsIn(room.FreeableFor(step)) ||
      (spec.max_per_worker > 0 && room.CountOf(step.step) >= spec.max_per_worker)) {
    return std::nullopt;
  }
  Resources freed = room.free_later;
  std::vector<const Victim*> chosen;
  for (const Victim& it : room.victims) {
    if (needed.FitsIn(freed)) {
      break;
    }
    if (it.team && !(step.may_reclaim && budget.Allows(it, chosen))) {
      continue;
    }
    // The last victim chosen is always needed, so that the set costs at least as much.
    if (limit != nullptr && it.cost >= *limit) {
      return std::nullopt;
    }
    freed = freed + it.run->reserved;
    chosen.push_back(&it);
  }
  if (!needed.FitsIn(freed)) {
    return std::nullopt;
  }
  DropUnneeded(chosen, freed, needed);
  VictimSet set;
  for (const Victim* it : chosen) {
    set.victims.push_back(*it);
    set.cost = set.cost + it->cost;
  }
  return set;
}

}  // namespace clementineloom::workload::detail
