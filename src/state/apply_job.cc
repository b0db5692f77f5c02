#include <algorithm>

#include "clementineloom/state/cell_units.h"
#include "clementineloom/state/cluster_state.h"

namespace clementineloom {

ApplyOutcome ClusterState::ApplyBody(LogOffset offset, const JobSubmitted& body) {
  if (const auto known = FindJobByKey(body.key)) {
    return ApplyOutcome(
        {.code = ResultCode::kDuplicateSubmission, .placement_codes = {}, .job = *known});
  }
  const auto team = FindTeam(body.spec.team());
  if (!team) {
    return ApplyOutcome(ResultCode::kUnknownTeam);
  }
  const JobId id(offset.value());
  JobEntry entry;
  entry.spec = std::make_shared<const JobSpec>(body.spec);
  entry.key = body.key;
  entry.team = *team;
  entry.submitted_at = body.submitted_at;
  jobs_.emplace(id, std::move(entry));
  job_keys_.emplace(body.key, id);
  waiting_jobs_.insert(id);
  journal_.Add(id);
  ++teams_[team->value()].active_jobs;
  return ApplyOutcome({.code = ResultCode::kOk, .placement_codes = {}, .job = id});
}

ApplyOutcome ClusterState::ApplyBody(LogOffset, const JobsCancelled& body) {
  for (const JobId id : body.jobs) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end() || it->second.phase == JobPhase::kEnded) {
      continue;
    }
    JobEntry& job = it->second;
    if (job.phase == JobPhase::kWaiting) {
      End(id, job, JobOutcome::kCancelled);
    } else {
      job.phase = JobPhase::kStopping;
      job.stop_reason = StopReason::kCancelled;
      journal_.Add(id);
    }
  }
  return ApplyOutcome(ResultCode::kOk);
}

ApplyOutcome ClusterState::ApplyBody(LogOffset offset, const JobsPlaced& body) {
  std::vector<ResultCode> codes;
  codes.reserve(body.placements.size());
  // Placements of one record were decided together, so one must not void the next by moving the
  // epoch.
  const LogOffset epoch_before = guarantee_epoch_;
  bool uses_guarantee = false;
  for (const Placement& placement : body.placements) {
    guarantee_epoch_ = epoch_before;
    const ResultCode code = ValidatePlacement(body.decided_at, placement);
    codes.push_back(code);
    if (code == ResultCode::kOk) {
      Allocate(offset, jobs_.at(placement.job()), placement);
      uses_guarantee |= placement.kind() == CapacityKind::kGuaranteed;
    }
  }
  if (uses_guarantee) {
    guarantee_epoch_ = offset;
  }
  return ApplyOutcome(
      {.code = ResultCode::kOk, .placement_codes = std::move(codes), .job = JobId()});
}

ApplyOutcome ClusterState::ApplyBody(LogOffset, const JobStarted& body) {
  JobEntry* job = FindActive(body.job, body.attempt);
  if (job == nullptr || job->phase != JobPhase::kPlaced) {
    return ApplyOutcome(ResultCode::kWrongAttempt);
  }
  job->phase = JobPhase::kRunning;
  journal_.Add(body.job);
  return ApplyOutcome(ResultCode::kOk);
}

ApplyOutcome ClusterState::ApplyBody(LogOffset, const StopRequested& body) {
  JobEntry* job = FindActive(body.job, body.attempt);
  if (job == nullptr || job->phase == JobPhase::kStopping) {
    return ApplyOutcome(ResultCode::kWrongAttempt);
  }
  job->phase = JobPhase::kStopping;
  job->stop_reason = body.reason;
  journal_.Add(body.job);
  const bool is_failure = body.reason == StopReason::kAttemptFailed;
  if (is_failure) {
    ++job->failures;
  }
  if (body.suspect && body.suspect->value() < workers_.size()) {
    ++workers_[body.suspect->value()].consecutive_failures;
    journal_.Add(*body.suspect);
    if (std::ranges::find(job->failed_on, *body.suspect) == job->failed_on.end()) {
      job->failed_on.push_back(*body.suspect);
    }
  }
  return ApplyOutcome(ResultCode::kOk);
}

ApplyOutcome ClusterState::ApplyBody(LogOffset, const JobStopped& body) {
  JobEntry* job = FindActive(body.job, body.attempt);
  if (job == nullptr || job->phase != JobPhase::kStopping) {
    return ApplyOutcome(ResultCode::kWrongAttempt);
  }
  const bool is_cancelled = job->stop_reason == StopReason::kCancelled;
  Release(body.job, *job);
  if (is_cancelled) {
    End(body.job, *job, JobOutcome::kCancelled);
  } else {
    job->phase = JobPhase::kWaiting;
    waiting_jobs_.insert(body.job);
  }
  return ApplyOutcome(ResultCode::kOk);
}

ApplyOutcome ClusterState::ApplyBody(LogOffset, const JobFinished& body) {
  JobEntry* job = FindActive(body.job, body.attempt);
  if (job == nullptr) {
    return ApplyOutcome(ResultCode::kWrongAttempt);
  }
  if (body.outcome == JobOutcome::kSucceeded) {
    for (const Allocation& it : job->allocations) {
      workers_[it.worker().value()].consecutive_failures = 0;
    }
  }
  job->run_time = body.run_time;
  Release(body.job, *job);
  End(body.job, *job, body.outcome);
  return ApplyOutcome(ResultCode::kOk);
}

ApplyOutcome ClusterState::ApplyBody(LogOffset, const JobRefused& body) {
  const auto it = jobs_.find(body.job);
  if (it == jobs_.end()) {
    return ApplyOutcome(ResultCode::kUnknownJob);
  }
  if (it->second.phase != JobPhase::kWaiting) {
    return ApplyOutcome(ResultCode::kJobNotWaiting);
  }
  // A job with an exhausted retry budget has run and failed; the others never ran.
  const bool has_failed = body.code == ResultCode::kRetryBudgetExhausted;
  End(body.job, it->second, has_failed ? JobOutcome::kFailed : JobOutcome::kRefused);
  return ApplyOutcome(ResultCode::kOk);
}

JobEntry* ClusterState::FindActive(JobId job, std::uint32_t attempt) {
  const auto it = jobs_.find(job);
  if (it == jobs_.end() || it->second.attempt != attempt || !active_jobs_.contains(job)) {
    return nullptr;
  }
  return &it->second;
}

void ClusterState::Allocate(LogOffset offset, JobEntry& job, const Placement& placement) {
  job.phase = JobPhase::kPlaced;
  job.stop_reason = StopReason::kNone;
  job.kind = placement.kind();
  job.guarantee_index = placement.guarantee_index();
  job.guarantee_instance = placement.guarantee_instance();
  job.attempt = placement.attempt();
  job.token = FencingToken(offset.value());
  job.allocations = placement.allocations();
  teams_[job.team.value()].held_accelerators += job.spec->shape().total_accelerators();
  for (const Allocation& it : job.allocations) {
    WorkerEntry& entry = workers_[it.worker().value()];
    entry.free_accelerators -= it.accelerators();
    entry.jobs.push_back(placement.job());
    journal_.Add(it.worker());
  }
  if (job.kind == CapacityKind::kGuaranteed) {
    TeamEntry& entry = teams_[job.team.value()];
    const GangShape& shape = entry.team.guarantees()[job.guarantee_index].shape();
    CellUse& cell = entry.cells[job.guarantee_index][job.guarantee_instance];
    cell.units += CellUnits(shape, job.spec->shape());
    cell.domain = CellDomainOf(job.allocations.front().worker(), shape);
  }
  waiting_jobs_.erase(placement.job());
  active_jobs_.insert(placement.job());
  journal_.Add(placement.job());
}

void ClusterState::Release(JobId id, JobEntry& job) {
  for (const Allocation& it : job.allocations) {
    WorkerEntry& entry = workers_[it.worker().value()];
    entry.free_accelerators += it.accelerators();
    std::erase(entry.jobs, id);
    journal_.Add(it.worker());
  }
  teams_[job.team.value()].held_accelerators -= job.spec->shape().total_accelerators();
  if (job.kind == CapacityKind::kGuaranteed) {
    ReleaseCell(job);
  }
  job.allocations.clear();
  job.allocations.shrink_to_fit();
  active_jobs_.erase(id);
  journal_.Add(id);
}

void ClusterState::ReleaseCell(const JobEntry& job) {
  TeamEntry& entry = teams_[job.team.value()];
  const GangShape& shape = entry.team.guarantees()[job.guarantee_index].shape();
  entry.cells[job.guarantee_index][job.guarantee_instance].units -=
      CellUnits(shape, job.spec->shape());
}

void ClusterState::End(JobId id, JobEntry& job, JobOutcome outcome) {
  job.phase = JobPhase::kEnded;
  job.outcome = outcome;
  journal_.Add(id);
  waiting_jobs_.erase(id);
  --teams_[job.team.value()].active_jobs;
  ended_jobs_.push_back(id);
  if (ended_jobs_.size() > kEndedJobsKept) {
    const auto it = jobs_.find(ended_jobs_.front());
    job_keys_.erase(it->second.key);
    jobs_.erase(it);
    ended_jobs_.pop_front();
  }
}

}  // namespace clementineloom
