#include "clementineloom/workload/team_quota.h"

#include <functional>
#include <map>
#include <string>

#include "clementineloom/workload/detail/team_usage_table.h"

namespace clementineloom::workload {
namespace {

// Open jobs without a run, by team.
std::map<std::string_view, std::size_t> WaitingJobs(const JobTable& jobs) {
  std::map<std::string_view, std::size_t> waiting;
  for (const auto& [id, job] : jobs.jobs()) {
    if (job.IsOpen() && !job.HasStarted()) {
      ++waiting[job.submission->team];
    }
  }
  return waiting;
}

}  // namespace

bool IsOverQuota(const JobTable& jobs, const WorkerPool& workers, std::span<const TeamAccess> teams,
                 std::string_view team) {
  const detail::TeamUsageTable usage(jobs, workers, teams);
  const auto it = usage.indexes().find(team);
  return it != usage.indexes().end() && usage.Of(it->second).IsOverQuota();
}

std::optional<QuotaExcess> FindQuotaExcess(const JobSubmission& submission,
                                           const TeamAccess& team) {
  const Resources& quota = team.quota;
  for (std::uint32_t number = 0; number < submission.steps.size(); ++number) {
    const StepSpec& step = submission.steps[number];
    const Resources needed = step.per_task * (step.is_gang ? step.task_count : 1);
    if (quota.cpu_millicores > 0 && needed.cpu_millicores > quota.cpu_millicores) {
      return QuotaExcess{number, "millicores", needed.cpu_millicores, quota.cpu_millicores};
    }
    if (quota.memory_mb > 0 && needed.memory_mb > quota.memory_mb) {
      return QuotaExcess{number, "MB of memory", needed.memory_mb, quota.memory_mb};
    }
    if (quota.accelerators > 0 && needed.accelerators > quota.accelerators) {
      return QuotaExcess{number, "accelerators", needed.accelerators, quota.accelerators};
    }
  }
  return std::nullopt;
}

std::vector<TeamUse> UseOfTeams(const JobTable& jobs, const WorkerPool& workers,
                                std::span<const TeamAccess> teams) {
  const detail::TeamUsageTable usage(jobs, workers, teams);
  if (usage.indexes().empty()) {
    return {};
  }
  std::map<std::string_view, double> weights;
  for (const TeamAccess& it : teams) {
    weights.emplace(it.name, it.weight);
  }
  const auto waiting = WaitingJobs(jobs);
  std::vector<TeamUse> uses;
  for (const auto& [name, index] : usage.indexes()) {
    const auto weight = weights.find(name);
    const auto jobs_of_team = waiting.find(name);
    uses.push_back({name, weight == weights.end() ? 0 : weight->second, usage.Of(index).quota,
                    usage.Of(index).held,
                    jobs_of_team == waiting.end() ? 0 : jobs_of_team->second});
  }
  return uses;
}

}  // namespace clementineloom::workload
