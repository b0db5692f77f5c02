#include "clementineloom/workload/detail/team_usage_table.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace clementineloom::workload::detail {
namespace {

// Weight of a team whose configuration names none, beside teams with weights.
constexpr double kDefaultWeight = 1;

// Most of a quota that is kept for urgent work.
constexpr std::int64_t kMaxReservePercent = 40;

void Count(const PlacedRun& run, const StepSpec& spec, TeamUsage& team) {
  team.held = team.held + spec.per_task;
  if (run.stage == RunStage::kStopping) {
    team.stopping = team.stopping + spec.per_task;
  } else if (run.priority == kPreemptingPriority) {
    team.urgent_accelerators += spec.per_task.accelerators;
  }
}

bool IsLimited(const TeamAccess& team) { return team.weight > 0 || team.quota != Resources{}; }

}  // namespace

TeamUsageTable::TeamUsageTable(const JobTable& jobs, const WorkerPool& workers,
                               std::span<const TeamAccess> teams) {
  if (std::none_of(teams.begin(), teams.end(), IsLimited)) {
    return;
  }
  for (const TeamAccess& it : teams) {
    TeamUsage& team = teams_[IndexOf(it.name)];
    team.quota = it.quota;
    team.weight = it.weight > 0 ? it.weight : kDefaultWeight;
    has_weights_ = has_weights_ || it.weight > 0;
  }
  CountRuns(jobs, workers);
  // Teams that only wait take part in the shares, also those that the configuration does not name.
  for (const auto& [id, job] : jobs.jobs()) {
    if (job.IsOpen()) {
      IndexOf(job.submission->team);
    }
  }
  for (const TeamUsage& it : teams_) {
    active_weight_ += it.held == Resources{} ? 0 : it.weight;
  }
}

TeamUsageTable::JobOwner TeamUsageTable::OwnerOf(const JobEntry* job) {
  return job == nullptr || !job->submission ? JobOwner{}
                                            : JobOwner{job, IndexOf(job->submission->team)};
}

void TeamUsageTable::CountRuns(const JobTable& jobs, const WorkerPool& workers) {
  // Most jobs have several runs. The names are those of the runs.
  std::unordered_map<std::string_view, JobOwner> known;
  for (const auto& [id, worker] : workers) {
    fleet_ = fleet_ + worker.info.capacity;
    for (const auto& [run, placed] : worker.runs) {
      const auto [it, is_new] = known.try_emplace(run.task.step.job);
      if (is_new) {
        it->second = OwnerOf(jobs.Find(run.task.step.job));
      }
      const JobEntry* job = it->second.job;
      const StepSpec* spec = job == nullptr ? nullptr : job->FindStep(run.task.step.step);
      if (spec != nullptr) {
        Count(placed, *spec, teams_[it->second.team]);
      }
    }
  }
}

TeamUsageTable::Team TeamUsageTable::IndexOf(const std::string& team) {
  const auto it = indexes_.find(team);
  if (it != indexes_.end()) {
    return it->second;
  }
  indexes_.emplace(team, teams_.size());
  teams_.emplace_back();
  return teams_.size() - 1;
}

std::optional<TeamUsageTable::Team> TeamUsageTable::TeamOf(const JobEntry& job) const {
  const auto it = job.submission ? indexes_.find(job.submission->team) : indexes_.end();
  return it == indexes_.end() ? std::nullopt : std::optional(it->second);
}

std::int64_t TeamUsageTable::AdmittedTasks(const StartCandidate& step) const {
  const auto tasks = static_cast<std::int64_t>(step.task_indexes.size());
  const auto team = TeamOf(*step.job);
  if (!team) {
    return tasks;
  }
  const Resources& per_task = step.spec().per_task;
  const TeamUsage& usage = teams_[*team];
  // A gang that does not fit beside the reserve would never start while that lasts.
  const bool ignores_reserve =
      step.priority() == kPreemptingPriority ||
      (step.spec().is_gang && usage.MostTasksBesideReserve(per_task, tasks) < tasks);
  return ignores_reserve ? usage.AdmittedUrgentTasks(per_task, tasks)
                         : usage.AdmittedTasks(per_task, tasks);
}

TeamUsageTable TeamUsageTable::ForPlan(const PlanRequest& request) {
  TeamUsageTable usage(request.jobs, request.workers, request.teams);
  for (const auto& [team, accelerators] : request.team_urgent_forecast) {
    usage.Reserve(team, accelerators);
  }
  return usage;
}

void TeamUsageTable::Reserve(const std::string& team, std::int64_t urgent_accelerators) {
  const auto it = indexes_.find(team);
  if (it == indexes_.end()) {
    return;
  }
  TeamUsage& usage = teams_[it->second];
  const std::int64_t most = usage.quota.accelerators * kMaxReservePercent / 100;
  usage.reserved_accelerators =
      std::clamp<std::int64_t>(urgent_accelerators - usage.urgent_accelerators, 0, most);
}

bool TeamUsageTable::MayEverHold(const StartCandidate& step) const {
  const auto team = TeamOf(*step.job);
  const auto tasks = static_cast<std::int64_t>(step.task_indexes.size());
  return !team || teams_[*team].MostTasks(step.spec().per_task, tasks) == tasks;
}

void TeamUsageTable::Take(const StartCandidate& step, std::int64_t tasks) {
  if (teams_.empty()) {
    return;
  }
  const Resources& per_task = step.spec().per_task;
  TeamUsage& team = teams_[IndexOf(step.job->submission->team)];
  team.held = team.held + per_task * tasks;
  if (step.priority() == kPreemptingPriority) {
    const std::int64_t accelerators = per_task.accelerators * tasks;
    team.urgent_accelerators += accelerators;
    team.reserved_accelerators =
        std::max<std::int64_t>(team.reserved_accelerators - accelerators, 0);
  }
}

}  // namespace clementineloom::workload::detail
