#include "clementineloom/workload/detail/quota_reclaim.h"

#include <algorithm>
#include <set>
#include <utility>

namespace clementineloom::workload::detail {
namespace {

// Whether an end frees some of a resource of which more is missing.
bool Helps(const Resources& freed, const Resources& missing) {
  const auto helps = [&](std::int64_t Resources::*resource) {
    return missing.*resource > 0 && freed.*resource > 0;
  };
  return helps(&Resources::cpu_millicores) || helps(&Resources::memory_mb) ||
         helps(&Resources::accelerators);
}

}  // namespace

std::vector<QuotaReclaim::Candidate> QuotaReclaim::RunsOf(TeamUsageTable::Team team) const {
  std::vector<Candidate> runs;
  std::set<std::pair<StepId, std::uint64_t>> gangs;
  for (WorkerRoom* room : rooms_.On({})) {
    for (const Victim& it : room->victims) {
      const TaskRun& run = it.run->run;
      const JobEntry* job = rooms_.jobs().Find(run.task.step.job);
      // Urgent runs are victims only as far as their team is beyond its guarantee.
      if (it.team || job == nullptr || usage_.TeamOf(*job) != team ||
          (it.is_gang_member && !gangs.emplace(run.task.step, run.run).second)) {
        continue;
      }
      const StepSpec& spec = *job->FindStep(run.task.step.step);
      runs.push_back({room, it, spec.per_task * (spec.is_gang ? spec.task_count : 1)});
    }
  }
  std::stable_sort(runs.begin(), runs.end(), [](const Candidate& a, const Candidate& b) {
    return a.victim.cost < b.victim.cost;
  });
  return runs;
}

std::vector<Preemption> QuotaReclaim::MakeRoom(const StartCandidate& step) {
  const auto team = usage_.TeamOf(*step.job);
  if (!team || (step.spec().is_gang && !usage_.MayEverHold(step))) {
    return {};
  }
  const auto waiting = static_cast<std::int64_t>(step.task_indexes.size());
  const std::int64_t tasks = usage_.Of(*team).MostTasks(step.spec().per_task, waiting);
  // A quota that has fallen stops nothing by itself; only a guarantee is worth that much work.
  if (usage_.Of(*team).IsOverQuota() && !step.is_guaranteed) {
    return {};
  }
  Resources missing = usage_.Of(*team).MissingFor(step.spec().per_task * tasks);
  if (missing == Resources{}) {
    return {};
  }
  rooms_.ListVictims(guarantees_, usage_);
  std::vector<Candidate> chosen;
  for (const Candidate& it : RunsOf(*team)) {
    if (missing.FitsIn({})) {
      break;
    }
    if (Helps(it.freed, missing)) {
      missing = missing - it.freed;
      chosen.push_back(it);
    }
  }
  if (!missing.FitsIn({})) {
    return {};
  }
  std::vector<Preemption> preemptions;
  for (const Candidate& it : chosen) {
    usage_.Stop(*team, it.freed);
    preemptions.push_back(
        {it.room->worker->info.id, it.victim.run->run, {step.step, step.task_indexes.front()}});
    rooms_.Stop(*it.room, *it.victim.run);
  }
  return preemptions;
}

}  // namespace clementineloom::workload::detail
