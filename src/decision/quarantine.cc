#include "clementineloom/decision/quarantine.h"

#include <algorithm>
#include <string>
#include <utility>

namespace clementineloom {
namespace {

bool RunsOrSucceeded(const JobEntry& job) {
  return job.phase == JobPhase::kRunning || job.outcome == JobOutcome::kSucceeded;
}

}  // namespace

void Quarantine::Clear() {
  failed_jobs_.clear();
  seen_failures_.clear();
  quarantined_since_.clear();
  probations_.clear();
  suspects_.clear();
}

void Quarantine::ObserveJob(const ClusterState& state, JobId job) {
  const JobEntry* entry = state.FindJob(job);
  if (entry == nullptr || entry->failed_on.empty()) {
    return;
  }
  std::size_t& seen = seen_failures_[job];
  for (; seen < entry->failed_on.size(); ++seen) {
    failed_jobs_[entry->failed_on[seen]].insert(job);
  }
  // The job's outcome on other workers is evidence about all workers on which it failed.
  for (const WorkerId it : entry->failed_on) {
    suspects_.insert(it);
  }
  if (entry->phase == JobPhase::kEnded) {
    seen_failures_.erase(job);
  }
}

void Quarantine::ObserveWorker(const ClusterState& state, WorkerId worker, Instant now) {
  const WorkerEntry& entry = state.worker(worker);
  if (entry.condition == WorkerCondition::kQuarantined) {
    quarantined_since_.emplace(worker, now);
    probations_[worker].is_probing = false;
    return;
  }
  quarantined_since_.erase(worker);
  if (entry.condition == WorkerCondition::kLost) {
    failed_jobs_.erase(worker);
    probations_.erase(worker);
    return;
  }
  if (entry.consecutive_failures == 0) {
    failed_jobs_.erase(worker);
  }
  const auto it = probations_.find(worker);
  if (it == probations_.end()) {
    return;
  }
  it->second.is_probing = true;
  it->second.has_seen_job |= !entry.jobs.empty();
  const bool has_passed =
      it->second.has_seen_job && entry.jobs.empty() && entry.consecutive_failures == 0;
  if (has_passed) {
    probations_.erase(it);
  }
}

std::vector<WorkerConditionChanged> Quarantine::Decide(const ClusterState& state, Instant now) {
  std::vector<WorkerConditionChanged> changes;
  for (const WorkerId it : std::exchange(suspects_, {})) {
    const WorkerEntry& entry = state.worker(it);
    const auto probation = probations_.find(it);
    const bool failed_probe = probation != probations_.end() && probation->second.is_probing &&
                              entry.consecutive_failures > 0;
    const bool is_bad = failed_probe || EvidenceAgainst(state, it) >= options_.quarantine_after;
    if (entry.condition != WorkerCondition::kLive || !is_bad) {
      continue;
    }
    // Proposed again by the next call, until the record is accepted.
    suspects_.insert(it);
    if (MayQuarantineMore(state)) {
      if (failed_probe) {
        ++probation->second.quarantines;
        probation->second.has_seen_job = false;
      }
      changes.push_back({entry.name, WorkerCondition::kQuarantined, "failed different jobs"});
    }
  }
  for (const auto& [worker, since] : quarantined_since_) {
    if (since + QuarantineTimeOf(worker) <= now) {
      changes.push_back({state.worker(worker).name, WorkerCondition::kLive, "probe"});
    }
  }
  return changes;
}

std::size_t Quarantine::EvidenceAgainst(const ClusterState& state, WorkerId worker) const {
  const auto it = failed_jobs_.find(worker);
  if (it == failed_jobs_.end()) {
    return 0;
  }
  std::size_t passed_elsewhere = 0;
  std::set<std::pair<TeamId, std::string>> untried_elsewhere;
  for (const JobId id : it->second) {
    const JobEntry* job = state.FindJob(id);
    if (job == nullptr) {
      continue;
    }
    if (RunsOrSucceeded(*job)) {
      ++passed_elsewhere;
    } else if (job->failed_on.size() == 1) {
      untried_elsewhere.emplace(job->team, job->spec->job_class());
    }
  }
  return passed_elsewhere + untried_elsewhere.size();
}

bool Quarantine::MayQuarantineMore(const ClusterState& state) const {
  const std::size_t limit =
      std::max<std::size_t>(1, state.workers().size() / options_.workers_per_quarantine);
  return quarantined_since_.size() < limit;
}

Duration Quarantine::QuarantineTimeOf(WorkerId worker) const {
  const auto it = probations_.find(worker);
  const std::uint32_t quarantines = it == probations_.end() ? 1 : it->second.quarantines;
  Duration time = options_.quarantine_time;
  for (std::uint32_t n = 1; n < quarantines && time < options_.max_quarantine_time; ++n) {
    time *= 2;
  }
  return std::min(time, options_.max_quarantine_time);
}

std::vector<WorkerId> Quarantine::ProbationWithJob(const ClusterState& state) const {
  std::vector<WorkerId> workers;
  for (const auto& [worker, probation] : probations_) {
    if (probation.is_probing && !state.worker(worker).jobs.empty()) {
      workers.push_back(worker);
    }
  }
  return workers;
}

}  // namespace clementineloom
