#include "clementineloom/workload/submission_rate.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string_view>

#include "clementineloom/workload/token_bucket.h"

namespace clementineloom::workload {
namespace {

// Submissions come in groups; what a team saves up in this time is within its rate.
constexpr double kBurstSeconds = 2;

using TeamJobs = std::vector<const JobEntry*>;

TokenBucket BucketOf(const TeamAccess& team) {
  return {team.weight, std::max(1.0, team.weight * kBurstSeconds)};
}

bool IsAcceptedBefore(const JobEntry* a, const JobEntry* b) {
  return a->submission->accepted_at_ms < b->submission->accepted_at_ms;
}

// The jobs of each team that has a rate.
std::map<std::string_view, TeamJobs> JobsOfTeams(const JobTable& jobs,
                                                 std::span<const TeamAccess> teams) {
  std::map<std::string_view, TeamJobs> jobs_of;
  for (const TeamAccess& it : teams) {
    if (it.weight > 0) {
      jobs_of.try_emplace(it.name);
    }
  }
  if (jobs_of.empty()) {
    return jobs_of;
  }
  for (const auto& [id, job] : jobs.jobs()) {
    const auto it = job.submission ? jobs_of.find(job.submission->team) : jobs_of.end();
    if (it != jobs_of.end()) {
      it->second.push_back(&job);
    }
  }
  return jobs_of;
}

// Takes a token for each job in the order of acceptance. Returns the open jobs that found none.
std::vector<std::string> TakeTokens(TokenBucket& bucket, TeamJobs jobs) {
  std::stable_sort(jobs.begin(), jobs.end(), IsAcceptedBefore);
  std::vector<std::string> beyond;
  for (const JobEntry* it : jobs) {
    if (!bucket.Take(it->submission->accepted_at_ms) && it->IsOpen()) {
      beyond.push_back(it->submission->id);
    }
  }
  return beyond;
}

// Accelerators of the tasks that are not done.
std::int64_t OpenAccelerators(const JobEntry& job) {
  std::int64_t open = 0;
  for (std::uint32_t step = 0; step < job.submission->steps.size(); ++step) {
    const StepSpec& spec = job.submission->steps[step];
    for (std::uint32_t index = 0; index < spec.task_count; ++index) {
      const bool is_done =
          job.Task({{job.submission->id, 0, step}, index}).phase == TaskPhase::kDone;
      open += is_done ? 0 : spec.per_task.accelerators;
    }
  }
  return open;
}

std::int64_t AllAccelerators(const JobSubmission& submission) {
  std::int64_t all = 0;
  for (const StepSpec& it : submission.steps) {
    all += it.task_count * it.per_task.accelerators;
  }
  return all;
}

}  // namespace

std::vector<std::string> JobsBeyondRate(const JobTable& jobs, std::span<const TeamAccess> teams) {
  std::vector<std::string> beyond;
  const auto jobs_of = JobsOfTeams(jobs, teams);
  for (const TeamAccess& it : teams) {
    const auto found = jobs_of.find(it.name);
    if (found != jobs_of.end()) {
      TokenBucket bucket = BucketOf(it);
      std::vector<std::string> of_team = TakeTokens(bucket, found->second);
      beyond.insert(beyond.end(), of_team.begin(), of_team.end());
    }
  }
  std::sort(beyond.begin(), beyond.end());
  return beyond;
}

bool IsWithinRate(const JobTable& jobs, const TeamAccess& team, std::int64_t now_ms) {
  if (team.weight <= 0) {
    return true;
  }
  TokenBucket bucket = BucketOf(team);
  TakeTokens(bucket, JobsOfTeams(jobs, {&team, 1})[team.name]);
  return bucket.Take(now_ms);
}

bool IsWithinGuarantee(const JobTable& jobs, const TeamAccess& team,
                       const JobSubmission& submission) {
  if (submission.queue.priority != kPreemptingPriority || team.guaranteed_accelerators == 0) {
    return false;
  }
  std::int64_t needed = AllAccelerators(submission);
  for (const auto& [id, job] : jobs.jobs()) {
    const bool is_urgent_of_team = job.IsOpen() && job.submission->team == team.name &&
                                   job.submission->queue.priority == kPreemptingPriority;
    needed += is_urgent_of_team ? OpenAccelerators(job) : 0;
  }
  return needed <= team.guaranteed_accelerators;
}

}  // namespace clementineloom::workload
