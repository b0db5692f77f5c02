#include "clementineloom/workload/detail/team_usage_table.h"

#include <algorithm>

namespace clementineloom::workload::detail {
namespace {

// Weight of a team whose configuration names none, beside teams with weights.
constexpr double kDefaultWeight = 1;

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
  for (const TeamUsage& it : teams_) {
    active_weight_ += it.held == Resources{} ? 0 : it.weight;
  }
}

void TeamUsageTable::CountRuns(const JobTable& jobs, const WorkerPool& workers) {
  for (const auto& [id, worker] : workers) {
    fleet_ = fleet_ + worker.info.capacity;
    for (const auto& [run, placed] : worker.runs) {
      const JobEntry* job = jobs.Find(run.task.step.job);
      const StepSpec* spec = job == nullptr ? nullptr : job->FindStep(run.task.step.step);
      if (spec != nullptr) {
        TeamUsage& team = teams_[IndexOf(job->submission->team)];
        team.held = team.held + spec->per_task;
      }
    }
  }
}

TeamUsageTable::Team TeamUsageTable::IndexOf(const std::string& team) {
  const auto [it, is_new] = indexes_.emplace(team, teams_.size());
  if (is_new) {
    teams_.emplace_back();
  }
  return it->second;
}

std::optional<TeamUsageTable::Team> TeamUsageTable::TeamOf(const JobEntry& job) const {
  const auto it = job.submission ? indexes_.find(job.submission->team) : indexes_.end();
  return it == indexes_.end() ? std::nullopt : std::optional(it->second);
}

std::int64_t TeamUsageTable::AdmittedTasks(const StartCandidate& step) const {
  const auto tasks = static_cast<std::int64_t>(step.task_indexes.size());
  const auto team = TeamOf(*step.job);
  return team ? teams_[*team].AdmittedTasks(step.spec().per_task, tasks) : tasks;
}

bool TeamUsageTable::MayEverHold(const StartCandidate& step) const {
  const auto team = TeamOf(*step.job);
  const auto tasks = static_cast<std::int64_t>(step.task_indexes.size());
  return !team || teams_[*team].MayEverHold(step.spec().per_task, tasks);
}

void TeamUsageTable::Take(const StartCandidate& step, std::int64_t tasks) {
  if (teams_.empty()) {
    return;
  }
  const Resources& per_task = step.spec().per_task;
  TeamUsage& team = teams_[IndexOf(step.job->submission->team)];
  team.held = team.held + per_task * tasks;
}

}  // namespace clementineloom::workload::detail
