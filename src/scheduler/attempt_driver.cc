#include "scheduler/attempt_driver.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace clementineloom::scheduler {
namespace {

using platform::TaskState;

// Time after which an attempt that waits for a fresh view or its rank delay is checked again.
constexpr std::chrono::milliseconds kPollInterval{50};
// Interval at which an attempt without due steps is checked, as a safeguard.
constexpr std::chrono::seconds kIdleInterval{30};
// Higher ranks renew no leases: three schedulers that renew tolerate two simultaneous failures.
constexpr std::size_t kLastRenewingRank = 2;
// Share of the lease after which the last renewing rank renews at the latest.
constexpr double kMaxRenewalLeaseShare = 0.9;

bool RequiresCheckpoint(StopReason reason) {
  return reason == StopReason::kReclaim || reason == StopReason::kDataCentreOut ||
         reason == StopReason::kWorkerLeaving;
}

}  // namespace

AttemptDriver::AttemptDriver(std::shared_ptr<const Attempt> attempt, const DriverOptions& options,
                             MonotonicTime now)
    : options_(options), members_(attempt->members.size()), phase_since_(now), wake_at_(now) {
  Update(std::move(attempt), now);
}

void AttemptDriver::Update(std::shared_ptr<const Attempt> attempt, MonotonicTime now) {
  const bool is_new_phase = attempt_ == nullptr || attempt_->phase != attempt->phase;
  attempt_ = std::move(attempt);
  if (is_new_phase) {
    phase_since_ = now;
    next_proposal_ = now;
  }
  if (attempt_->due_stop == StopReason::kNone) {
    due_stop_since_.reset();
  } else if (!due_stop_since_) {
    due_stop_since_ = now;
  }
  wake_at_ = now;
}

AttemptSteps AttemptDriver::Next(const DriverView& view) {
  AttemptSteps steps;
  wake_at_ = view.now + kIdleInterval;
  switch (attempt_->phase) {
    case JobPhase::kPlaced:
      StepPlaced(view, steps);
      break;
    case JobPhase::kRunning:
      StepRunning(view, steps);
      break;
    case JobPhase::kStopping:
      StepStopping(view, steps);
      break;
    case JobPhase::kWaiting:
    case JobPhase::kEnded:
      break;
  }
  return steps;
}

void AttemptDriver::StepPlaced(const DriverView& view, AttemptSteps& steps) {
  Renew(view, steps);
  ProposeStopIfDue(view, steps);
  if (failure_ || due_stop_since_) {
    return;
  }
  const bool is_started = std::ranges::all_of(members_, [](const MemberProgress& it) {
    return it.step == MemberStep::kRunning || it.step == MemberStep::kSucceeded;
  });
  ProposeEndIfReached(view, steps);
  if (is_started) {
    Propose(JobStarted{attempt_->key.job, attempt_->key.attempt}, view.now, steps);
    return;
  }
  const bool may_begin = start_began_at_ || !view.is_draining;
  const bool may_start =
      !view.freshness.is_outdated && view.freshness.IsWithin(options_.max_view_age, view.now);
  if (!may_begin || !may_start || !HasRankDelayPassed(view, phase_since_)) {
    WakeBy(view.now + kPollInterval);
    return;
  }
  ReserveAndStart(view, steps);
}

void AttemptDriver::ReserveAndStart(const DriverView& view, AttemptSteps& steps) {
  if (!start_began_at_) {
    start_began_at_ = view.now;
  }
  CheckStartDeadline(view.now);
  if (failure_) {
    ProposeStopIfDue(view, steps);
    return;
  }
  const bool is_reserved = std::ranges::none_of(
      members_, [](const MemberProgress& it) { return it.step == MemberStep::kUnknown; });
  for (std::size_t n = 0; n < members_.size(); ++n) {
    if (!IsReady(members_[n], view.now)) {
      continue;
    }
    if (members_[n].step == MemberStep::kUnknown) {
      Command(n, MemberAction::kReserve, steps);
    } else if (members_[n].step == MemberStep::kReserved && is_reserved) {
      Command(n, MemberAction::kStart, steps);
    }
  }
  WakeBy(view.now + kPollInterval);
}

void AttemptDriver::CheckStartDeadline(MonotonicTime now) {
  if (now - *start_began_at_ < options_.start_deadline) {
    return;
  }
  // The suspect is the first worker with the least progress.
  const auto slowest = std::ranges::min_element(members_, {}, &MemberProgress::step);
  const auto n = static_cast<std::size_t>(slowest - members_.begin());
  Fail(StopReason::kStartDeadline, attempt_->members[n].worker, now);
}

void AttemptDriver::StepRunning(const DriverView& view, AttemptSteps& steps) {
  Renew(view, steps);
  ProposeStopIfDue(view, steps);
  ProposeEndIfReached(view, steps);
}

void AttemptDriver::Renew(const DriverView& view, AttemptSteps& steps) {
  const bool may_renew = view.rank <= kLastRenewingRank &&
                         view.freshness.IsWithin(options_.max_renew_view_age, view.now);
  if (!may_renew) {
    WakeBy(view.now + options_.renew_interval);
    return;
  }
  const bool is_running = attempt_->phase == JobPhase::kRunning;
  for (std::size_t n = 0; n < members_.size(); ++n) {
    MemberProgress& member = members_[n];
    // A scheduler that takes over a running attempt has no report of its tasks yet.
    const bool is_renewed =
        member.step == MemberStep::kRunning || (is_running && member.step == MemberStep::kUnknown);
    if (!is_renewed || attempt_->members[n].is_lost) {
      continue;
    }
    if (member.next_renewal <= view.now && IsReady(member, view.now)) {
      member.next_renewal = view.now + RenewInterval(view.rank);
      Command(n, MemberAction::kRenew, steps);
    }
    WakeBy(std::max({member.next_renewal, member.retry_at, view.now + kPollInterval}));
  }
}

std::chrono::milliseconds AttemptDriver::RenewInterval(std::size_t rank) const {
  const auto last = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::duration<double, std::milli>(options_.lease) * kMaxRenewalLeaseShare);
  return std::min(options_.renew_interval * static_cast<std::int64_t>(rank + 1), last);
}

void AttemptDriver::ProposeStopIfDue(const DriverView& view, AttemptSteps& steps) {
  if (failure_ && HasRankDelayPassed(view, failure_->since)) {
    Propose(StopRequested{attempt_->key.job, attempt_->key.attempt, failure_->reason,
                          failure_->suspect},
            view.now, steps);
    return;
  }
  // The decision duty vacates running attempts; lost or not yet started ones cannot wait for it.
  const bool is_due = due_stop_since_ && (attempt_->phase == JobPhase::kPlaced ||
                                          attempt_->due_stop == StopReason::kWorkerLost);
  if (!failure_ && is_due && HasRankDelayPassed(view, *due_stop_since_)) {
    Propose(
        StopRequested{attempt_->key.job, attempt_->key.attempt, attempt_->due_stop, std::nullopt},
        view.now, steps);
  }
}

void AttemptDriver::ProposeEndIfReached(const DriverView& view, AttemptSteps& steps) {
  if (!AllAre(MemberStep::kSucceeded)) {
    return;
  }
  if (!succeeded_since_) {
    succeeded_since_ = view.now;
  }
  if (!HasRankDelayPassed(view, *succeeded_since_)) {
    return;
  }
  const auto longest = std::ranges::max_element(members_, {}, &MemberProgress::run_time);
  Propose(JobFinished{attempt_->key.job, attempt_->key.attempt, JobOutcome::kSucceeded,
                      longest->run_time},
          view.now, steps);
}

void AttemptDriver::StepStopping(const DriverView& view, AttemptSteps& steps) {
  ProposeEndIfReached(view, steps);
  if (AllAre(MemberStep::kSucceeded) || !HasRankDelayPassed(view, phase_since_)) {
    WakeBy(view.now + kPollInterval);
    return;
  }
  bool all_released = true;
  for (std::size_t n = 0; n < members_.size(); ++n) {
    if (IsReleased(n, view.now)) {
      continue;
    }
    all_released = false;
    if (!IsReady(members_[n], view.now)) {
      continue;
    }
    const bool needs_checkpoint =
        RequiresCheckpoint(attempt_->stop_reason) && !members_[n].is_checkpointed;
    Command(n, needs_checkpoint ? MemberAction::kCheckpoint : MemberAction::kStop, steps);
  }
  if (all_released) {
    Propose(JobStopped{attempt_->key.job, attempt_->key.attempt}, view.now, steps);
  } else {
    WakeBy(view.now + options_.retry_pause);
  }
}

bool AttemptDriver::IsReleased(std::size_t member, MonotonicTime now) const {
  const MemberStep step = members_[member].step;
  if (step == MemberStep::kReleased || step == MemberStep::kSucceeded) {
    return true;
  }
  // A replica that has not read the stop renews for at most max_renew_view_age; the last lease that
  // it granted ends one lease time later.
  const bool has_lease_expired = now - phase_since_ >= options_.max_renew_view_age + options_.lease;
  return attempt_->members[member].is_lost || has_lease_expired;
}

void AttemptDriver::Propose(RecordBody body, MonotonicTime now, AttemptSteps& steps) {
  if (now >= next_proposal_) {
    next_proposal_ = now + options_.proposal_timeout;
    steps.proposals.push_back(std::move(body));
  }
  WakeBy(next_proposal_);
}

void AttemptDriver::Command(std::size_t member, MemberAction action, AttemptSteps& steps) {
  members_[member].awaited = action;
  steps.commands.push_back({member, action});
}

platform::WorkerCommand AttemptDriver::CommandFor(const MemberCommand& command) const {
  const platform::TaskKey& key = attempt_->key;
  switch (command.action) {
    case MemberAction::kReserve:
      return platform::ReserveCommand{key, attempt_->members[command.member].accelerators,
                                      options_.reserve_ttl};
    case MemberAction::kStart:
      return platform::StartCommand{key, attempt_->command, options_.lease};
    case MemberAction::kRenew:
      return platform::RenewCommand{key, options_.lease};
    case MemberAction::kCheckpoint:
      return platform::CheckpointCommand{key};
    case MemberAction::kStop:
    case MemberAction::kNone:
      break;
  }
  return platform::StopCommand{key};
}

void AttemptDriver::OnReport(std::size_t n, const platform::TaskReport& report, MonotonicTime now) {
  MemberProgress& member = members_[n];
  const MemberAction action = std::exchange(member.awaited, MemberAction::kNone);
  member.is_checkpointed |= report.is_checkpointed || action == MemberAction::kCheckpoint;
  member.run_time = report.run_time;
  wake_at_ = now;
  switch (report.state) {
    case TaskState::kReserved:
      member.step = MemberStep::kReserved;
      break;
    case TaskState::kRunning:
      member.step = MemberStep::kRunning;
      member.next_renewal = std::max(member.next_renewal, now + options_.renew_interval);
      break;
    case TaskState::kSucceeded:
      member.step = MemberStep::kSucceeded;
      break;
    case TaskState::kFailed:
      member.step = MemberStep::kReleased;
      Fail(StopReason::kAttemptFailed, attempt_->members[n].worker, now);
      break;
    case TaskState::kLapsed:
      member.step =
          attempt_->phase == JobPhase::kStopping ? MemberStep::kReleased : MemberStep::kUnknown;
      break;
    case TaskState::kStopped:
    case TaskState::kLeaseExpired:
      OnStopped(n, now);
      break;
  }
}

// Either the lease expired, or another scheduler has read a stop that this one has not read yet.
void AttemptDriver::OnStopped(std::size_t member, MonotonicTime now) {
  members_[member].step = MemberStep::kReleased;
  if (attempt_->phase != JobPhase::kStopping) {
    Fail(StopReason::kWorkerLost, std::nullopt, now);
  }
}

void AttemptDriver::OnRefusal(std::size_t n, const Refusal& refusal, MonotonicTime now) {
  MemberProgress& member = members_[n];
  const MemberAction action = std::exchange(member.awaited, MemberAction::kNone);
  member.retry_at = now + options_.retry_pause;
  // A checkpoint is tried only once: a worker that cannot write it has to be stopped anyway.
  member.is_checkpointed |= action == MemberAction::kCheckpoint;
  wake_at_ = now;
  if (attempt_->phase == JobPhase::kStopping) {
    OnRefusalWhileStopping(n, action, refusal);
    return;
  }
  switch (refusal.code) {
    case ResultCode::kWorkerRefused:
      Fail(StopReason::kStartDeadline, attempt_->members[n].worker, now);
      break;
    case ResultCode::kReservationLapsed:
      member.step = MemberStep::kUnknown;
      break;
    case ResultCode::kUnknownJob:
      if (action == MemberAction::kRenew) {
        // The worker was restarted and has lost the task.
        Fail(StopReason::kWorkerLost, std::nullopt, now);
      } else {
        member.step = MemberStep::kUnknown;
      }
      break;
    default:
      // Unreachable, not free yet, or superseded by a record that was not read yet: retry.
      if (action == MemberAction::kRenew) {
        member.next_renewal = member.retry_at;
      }
      break;
  }
}

void AttemptDriver::OnRefusalWhileStopping(std::size_t member, MemberAction action,
                                           const Refusal& refusal) {
  const bool is_unknown = refusal.code == ResultCode::kUnknownJob && action == MemberAction::kStop;
  const bool is_gone = is_unknown || refusal.code == ResultCode::kTokenSuperseded;
  if (is_gone) {
    members_[member].step = MemberStep::kReleased;
  }
}

void AttemptDriver::OnNotSent(std::size_t member, MonotonicTime now) {
  members_[member].awaited = MemberAction::kNone;
  members_[member].retry_at = now + options_.retry_pause;
  WakeBy(members_[member].retry_at);
}

void AttemptDriver::Fail(StopReason reason, std::optional<WorkerId> suspect, MonotonicTime now) {
  if (!failure_) {
    failure_ = Failure{reason, suspect, now};
  }
}

bool AttemptDriver::IsReady(const MemberProgress& member, MonotonicTime now) const {
  return member.awaited == MemberAction::kNone && member.retry_at <= now;
}

bool AttemptDriver::AllAre(MemberStep step) const {
  return std::ranges::all_of(members_,
                             [step](const MemberProgress& it) { return it.step == step; });
}

bool AttemptDriver::HasRankDelayPassed(const DriverView& view, MonotonicTime since) const {
  return view.now - since >= options_.rank_delay * static_cast<std::int64_t>(view.rank);
}

}  // namespace clementineloom::scheduler
