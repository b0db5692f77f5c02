#include "scheduler/make_attempt.h"

namespace clementineloom::scheduler {
namespace {

// Returns the reason with the highest precedence: a lost worker needs no stop command; a data
// centre out of service affects all members there.
StopReason DueStopReason(const ClusterState& state, const JobEntry& job) {
  StopReason reason = StopReason::kNone;
  for (const Allocation& it : job.allocations) {
    const WorkerEntry& worker = state.worker(it.worker());
    if (worker.condition == WorkerCondition::kLost) {
      return StopReason::kWorkerLost;
    }
    if (!state.data_centre(worker.data_centre).data_centre.in_service()) {
      reason = StopReason::kDataCentreOut;
    } else if (worker.condition == WorkerCondition::kLeaving && reason == StopReason::kNone) {
      reason = StopReason::kWorkerLeaving;
    }
  }
  return reason;
}

std::vector<JobId> JobsAffectedBy(const ClusterState&, const JobsPlaced& body) {
  std::vector<JobId> jobs;
  for (const Placement& it : body.placements) {
    jobs.push_back(it.job());
  }
  return jobs;
}

std::vector<JobId> JobsAffectedBy(const ClusterState&, const JobsCancelled& body) {
  return body.jobs;
}
std::vector<JobId> JobsAffectedBy(const ClusterState&, const JobStarted& body) {
  return {body.job};
}
std::vector<JobId> JobsAffectedBy(const ClusterState&, const StopRequested& body) {
  return {body.job};
}
std::vector<JobId> JobsAffectedBy(const ClusterState&, const JobStopped& body) {
  return {body.job};
}
std::vector<JobId> JobsAffectedBy(const ClusterState&, const JobFinished& body) {
  return {body.job};
}
std::vector<JobId> JobsAffectedBy(const ClusterState&, const JobSubmitted&) { return {}; }
std::vector<JobId> JobsAffectedBy(const ClusterState&, const JobRefused&) { return {}; }
std::vector<JobId> JobsAffectedBy(const ClusterState&, const WorkerRegistered&) { return {}; }

std::vector<JobId> JobsAffectedBy(const ClusterState& state, const WorkerConditionChanged& body) {
  return state.worker(*state.FindWorker(body.worker)).jobs;
}

std::vector<JobId> JobsAffectedBy(const ClusterState& state, const ConfigChanged& body) {
  for (const ConfigEdit& it : body.edits) {
    if (std::holds_alternative<SetDataCentre>(it)) {
      return {state.active_jobs().begin(), state.active_jobs().end()};
    }
  }
  return {};
}

}  // namespace

std::shared_ptr<const Attempt> MakeAttempt(const ClusterState& state, JobId job) {
  const JobEntry* entry = state.FindJob(job);
  if (entry == nullptr || !state.active_jobs().contains(job)) {
    return nullptr;
  }
  std::vector<GangMember> members;
  members.reserve(entry->allocations.size());
  for (const Allocation& it : entry->allocations) {
    const WorkerEntry& worker = state.worker(it.worker());
    const bool is_lost = worker.condition == WorkerCondition::kLost;
    members.push_back({it.worker(), worker.address, it.accelerators(), is_lost});
  }
  return std::make_shared<const Attempt>(
      Attempt{.key = {.job = job, .attempt = entry->attempt, .token = entry->token},
              .phase = entry->phase,
              .stop_reason = entry->stop_reason,
              .due_stop = DueStopReason(state, *entry),
              .command = entry->spec->command(),
              .members = std::move(members)});
}

std::vector<JobId> AffectedJobs(const ClusterState& state, const Record& record) {
  return std::visit([&](const auto& body) { return JobsAffectedBy(state, body); }, record.body);
}

}  // namespace clementineloom::scheduler
