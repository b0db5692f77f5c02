#include "clementineloom/decision/job_queue.h"

#include <algorithm>
#include <functional>

namespace clementineloom {

JobQueue::JobQueue(const ClusterState& state, std::vector<QueuedJob> jobs) : state_(&state) {
  std::sort(jobs.begin(), jobs.end(), std::greater());
  for (const QueuedJob& it : jobs) {
    jobs_[it.team].push_back(it);
  }
  for (const auto& [team, queued] : jobs_) {
    std::uint32_t accelerators = 0;
    for (const Guarantee& it : state.team(team).team.guarantees()) {
      accelerators += it.shape().total_accelerators() * it.count();
    }
    guaranteed_[team] = std::max(accelerators, 1U);
    AddTurn(team);
  }
}

std::optional<QueuedJob> JobQueue::Next() {
  if (turns_.empty()) {
    return std::nullopt;
  }
  const TeamId team = turns_.begin()->team;
  turns_.erase(turns_.begin());
  const QueuedJob job = jobs_[team].back();
  jobs_[team].pop_back();
  AddTurn(team);
  return job;
}

void JobQueue::Grant(TeamId team, std::uint32_t accelerators) {
  RemoveTurn(team);
  granted_[team] += accelerators;
  AddTurn(team);
}

void JobQueue::Requeue(const QueuedJob& job) {
  auto& queued = jobs_[job.team];
  queued.insert(std::upper_bound(queued.begin(), queued.end(), job, std::greater()), job);
  RemoveTurn(job.team);
  AddTurn(job.team);
}

void JobQueue::RemoveTurn(TeamId team) {
  std::erase_if(turns_, [team](const Turn& it) { return it.team == team; });
}

double JobQueue::ShareOf(TeamId team) const {
  const auto it = granted_.find(team);
  const std::uint32_t granted = it == granted_.end() ? 0 : it->second;
  const double held = state_->team(team).held_accelerators + granted;
  return held / guaranteed_.at(team);
}

void JobQueue::AddTurn(TeamId team) {
  const auto& queued = jobs_[team];
  if (!queued.empty()) {
    turns_.insert({queued.back().rank, ShareOf(team), queued.back().job, team});
  }
}

}  // namespace clementineloom
