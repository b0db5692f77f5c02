#include "scheduler/pending_operations.h"

#include <utility>
#include <variant>

namespace clementineloom::scheduler {
namespace {

OperatorAnswer AnswerOfConfirmation(const ClusterState& state, const ApplyOutcome& outcome) {
  if (outcome.accepted()) {
    return ConfirmedRevision{state.config_revision()};
  }
  return Refusal{outcome.code(), RunState::kDidNotRun,
                 "revision " + std::to_string(state.config_revision().value()) + " is in force"};
}

OperatorAnswer AnswerOf(const ClusterState& state, const ConfigConfirm&,
                        const ApplyOutcome& outcome) {
  return AnswerOfConfirmation(state, outcome);
}

OperatorAnswer AnswerOf(const ClusterState& state, const PlanConfirmRequest&,
                        const ApplyOutcome& outcome) {
  return AnswerOfConfirmation(state, outcome);
}

OperatorAnswer AnswerOf(const ClusterState& state, const JobSubmit& request,
                        const ApplyOutcome& outcome) {
  if (outcome.accepted()) {
    return SubmittedJob{outcome.job()};
  }
  if (outcome.code() == ResultCode::kDuplicateSubmission) {
    const JobEntry* job = state.FindJob(outcome.job());
    if (job != nullptr && *job->spec == request.spec) {
      return SubmittedJob{outcome.job()};
    }
    return Refusal{ResultCode::kKeyReused, RunState::kDidNotRun, "key " + request.key};
  }
  return Refusal{outcome.code(), RunState::kDidNotRun, "team " + request.spec.team()};
}

OperatorAnswer AnswerOf(const ClusterState& state, const JobCancel& request, const ApplyOutcome&) {
  CancelledJobs answer;
  for (const JobId it : request.jobs) {
    const JobEntry* job = state.FindJob(it);
    const bool is_cancelled = job != nullptr && (job->outcome == JobOutcome::kCancelled ||
                                                 job->stop_reason == StopReason::kCancelled);
    (is_cancelled ? answer.cancelled : answer.not_cancelled).push_back(it);
  }
  return answer;
}

// The other requests are read-only and never wait for a record.
template <class Request>
OperatorAnswer AnswerOf(const ClusterState&, const Request&, const ApplyOutcome& outcome) {
  return Refusal{outcome.code(), RunState::kDidNotRun, ""};
}

}  // namespace

void PendingOperations::Resolve(const ClusterState& state, const Record& record,
                                const ApplyOutcome& outcome) {
  // A repeated record was already answered when it was first read.
  const auto node = calls_.extract(record.id);
  if (node.empty()) {
    return;
  }
  const OperatorCall& call = node.mapped();
  (void)call.reply->TryPush(std::visit(
      [&](const auto& request) { return AnswerOf(state, request, outcome); }, call.request));
}

void PendingOperations::Drop(const ProposalDropped& dropped) {
  const auto node = calls_.extract(dropped.record_id);
  if (node.empty()) {
    return;
  }
  const bool did_not_run = dropped.run_state == RunState::kDidNotRun;
  (void)node.mapped().reply->TryPush(
      Refusal{did_not_run ? ResultCode::kLogUnavailable : ResultCode::kAppendUnknown,
              dropped.run_state, "record " + dropped.record_id});
}

void PendingOperations::Expire(MonotonicTime now) {
  std::erase_if(calls_, [&](const auto& it) {
    const bool is_expired = it.second.deadline <= now;
    if (is_expired) {
      (void)it.second.reply->TryPush(Refusal{ResultCode::kAppendUnknown, RunState::kMayHaveRun,
                                             "record " + it.first + " was not read back in time"});
    }
    return is_expired;
  });
}

}  // namespace clementineloom::scheduler
