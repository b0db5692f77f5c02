#include "clementineloom/workload/detail/guarantee_table.h"

#include <numeric>

namespace clementineloom::workload::detail {

GuaranteeTable::GuaranteeTable(const PlanRequest& request) {
  shares_.reserve(request.teams.size());
  for (const TeamAccess& it : request.teams) {
    if (teams_.emplace(it.name, shares_.size()).second) {
      shares_.push_back({it.guaranteed_accelerators, 0});
    }
  }
  CountRuns(request);
}

void GuaranteeTable::CountRuns(const PlanRequest& request) {
  for (const auto& [id, worker] : request.workers) {
    for (const auto& [run, placed] : worker.runs) {
      if (placed.priority != kPreemptingPriority || placed.stage == RunStage::kStopping) {
        continue;
      }
      const JobEntry* job = request.jobs.Find(run.task.step.job);
      if (job != nullptr && job->submission) {
        ShareOf(job->submission->team).held += placed.reserved.accelerators;
      }
    }
  }
}

bool GuaranteeTable::Admit(const StartCandidate& step) {
  const std::int64_t needed = step.Accelerators();
  GuaranteeShare& share = ShareOf(step.job->submission->team);
  if (step.priority() != kPreemptingPriority || !share.Covers(needed)) {
    return false;
  }
  share.held += needed;
  return true;
}

std::optional<GuaranteeTable::Team> GuaranteeTable::TeamOf(const JobEntry& job) const {
  const auto it = job.submission ? teams_.find(job.submission->team) : teams_.end();
  return it == teams_.end() ? std::nullopt : std::optional(it->second);
}

GuaranteeShare& GuaranteeTable::ShareOf(const std::string& team) {
  const auto [it, is_new] = teams_.emplace(team, shares_.size());
  if (is_new) {
    // A team that was removed, or none on a public queue: nothing is guaranteed.
    shares_.emplace_back();
  }
  return shares_[it->second];
}

std::int64_t GuaranteeTable::Borrowed() const {
  return std::accumulate(
      shares_.begin(), shares_.end(), std::int64_t{0},
      [](std::int64_t sum, const GuaranteeShare& it) { return sum + it.Borrowed(); });
}

}  // namespace clementineloom::workload::detail
