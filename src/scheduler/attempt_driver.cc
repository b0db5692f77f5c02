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
    : options_(options), sites_(attempt->sites.size()), phase_since_(now), wake_at_(now) {
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
  const bool is_started = std::ranges::all_of(sites_, [](const SiteProgress& it) {
    return it.step == SiteStep::kRunning || it.step == SiteStep::kSucceeded;
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
      sites_, [](const SiteProgress& it) { return it.step == SiteStep::kUnknown; });
  for (std::size_t n = 0; n < sites_.size(); ++n) {
    if (!IsReady(sites_[n], view.now)) {
      continue;
    }
    if (sites_[n].step == SiteStep::kUnknown) {
      Command(n, SiteAction::kReserve, steps);
    } else if (sites_[n].step == SiteStep::kReserved && is_reserved) {
      Command(n, SiteAction::kStart, steps);
    }
  }
  WakeBy(view.now + kPollInterval);
}

void AttemptDriver::CheckStartDeadline(MonotonicTime now) {
  if (now - *start_began_at_ < options_.start_deadline) {
    return;
  }
  // The suspect is the first worker with the least progress.
  const auto slowest = std::ranges::min_element(sites_, {}, &SiteProgress::step);
  const auto n = static_cast<std::size_t>(slowest - sites_.begin());
  Fail(StopReason::kStartDeadline, attempt_->sites[n].worker, now);
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
  for (std::size_t n = 0; n < sites_.size(); ++n) {
    SiteProgress& site = sites_[n];
    // A scheduler that takes over a running attempt has no report of its tasks yet.
    const bool is_renewed =
        site.step == SiteStep::kRunning || (is_running && site.step == SiteStep::kUnknown);
    if (!is_renewed || attempt_->sites[n].is_lost) {
      continue;
    }
    if (site.next_renewal <= view.now && IsReady(site, view.now)) {
      site.next_renewal = view.now + RenewInterval(view.rank);
      Command(n, SiteAction::kRenew, steps);
    }
    WakeBy(std::max({site.next_renewal, site.retry_at, view.now + kPollInterval}));
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
  // The decision duty stops running attempts; only lost or not yet started ones are stopped here.
  const bool is_due = due_stop_since_ && (attempt_->phase == JobPhase::kPlaced ||
                                          attempt_->due_stop == StopReason::kWorkerLost);
  if (!failure_ && is_due && HasRankDelayPassed(view, *due_stop_since_)) {
    Propose(
        StopRequested{attempt_->key.job, attempt_->key.attempt, attempt_->due_stop, std::nullopt},
        view.now, steps);
  }
}

void AttemptDriver::ProposeEndIfReached(const DriverView& view, AttemptSteps& steps) {
  if (!AllAre(SiteStep::kSucceeded)) {
    return;
  }
  if (!succeeded_since_) {
    succeeded_since_ = view.now;
  }
  if (!HasRankDelayPassed(view, *succeeded_since_)) {
    return;
  }
  const auto longest = std::ranges::max_element(sites_, {}, &SiteProgress::run_time);
  Propose(JobFinished{attempt_->key.job, attempt_->key.attempt, JobOutcome::kSucceeded,
                      longest->run_time},
          view.now, steps);
}

void AttemptDriver::StepStopping(const DriverView& view, AttemptSteps& steps) {
  ProposeEndIfReached(view, steps);
  if (AllAre(SiteStep::kSucceeded) || !HasRankDelayPassed(view, phase_since_)) {
    WakeBy(view.now + kPollInterval);
    return;
  }
  bool all_released = true;
  for (std::size_t n = 0; n < sites_.size(); ++n) {
    if (IsReleased(n, view.now)) {
      continue;
    }
    all_released = false;
    if (!IsReady(sites_[n], view.now)) {
      continue;
    }
    const bool needs_checkpoint =
        RequiresCheckpoint(attempt_->stop_reason) && !sites_[n].is_checkpointed;
    Command(n, needs_checkpoint ? SiteAction::kCheckpoint : SiteAction::kStop, steps);
  }
  if (all_released) {
    Propose(JobStopped{attempt_->key.job, attempt_->key.attempt}, view.now, steps);
  } else {
    WakeBy(view.now + options_.retry_pause);
  }
}

bool AttemptDriver::IsReleased(std::size_t site, MonotonicTime now) const {
  const SiteStep step = sites_[site].step;
  if (step == SiteStep::kReleased || step == SiteStep::kSucceeded) {
    return true;
  }
  // A replica that has not read the stop renews for at most max_renew_view_age; the last lease that
  // it granted ends one lease time later.
  const bool has_lapsed = now - phase_since_ >= options_.max_renew_view_age + options_.lease;
  return attempt_->sites[site].is_lost || has_lapsed;
}

void AttemptDriver::Propose(RecordBody body, MonotonicTime now, AttemptSteps& steps) {
  if (now >= next_proposal_) {
    next_proposal_ = now + options_.proposal_timeout;
    steps.proposals.push_back(std::move(body));
  }
  WakeBy(next_proposal_);
}

void AttemptDriver::Command(std::size_t site, SiteAction action, AttemptSteps& steps) {
  sites_[site].awaited = action;
  steps.commands.push_back({site, action});
}

platform::WorkerCommand AttemptDriver::CommandFor(const SiteCommand& command) const {
  const platform::TaskKey& key = attempt_->key;
  switch (command.action) {
    case SiteAction::kReserve:
      return platform::ReserveCommand{key, attempt_->sites[command.site].accelerators,
                                      options_.reserve_ttl};
    case SiteAction::kStart:
      return platform::StartCommand{key, attempt_->command, options_.lease};
    case SiteAction::kRenew:
      return platform::RenewCommand{key, options_.lease};
    case SiteAction::kCheckpoint:
      return platform::CheckpointCommand{key};
    case SiteAction::kStop:
    case SiteAction::kNone:
      break;
  }
  return platform::StopCommand{key};
}

void AttemptDriver::OnReport(std::size_t n, const platform::TaskReport& report, MonotonicTime now) {
  SiteProgress& site = sites_[n];
  const SiteAction action = std::exchange(site.awaited, SiteAction::kNone);
  site.is_checkpointed |= report.is_checkpointed || action == SiteAction::kCheckpoint;
  site.run_time = report.run_time;
  wake_at_ = now;
  switch (report.state) {
    case TaskState::kReserved:
      site.step = SiteStep::kReserved;
      break;
    case TaskState::kRunning:
      site.step = SiteStep::kRunning;
      site.next_renewal = std::max(site.next_renewal, now + options_.renew_interval);
      break;
    case TaskState::kSucceeded:
      site.step = SiteStep::kSucceeded;
      break;
    case TaskState::kFailed:
      site.step = SiteStep::kReleased;
      Fail(StopReason::kAttemptFailed, attempt_->sites[n].worker, now);
      break;
    case TaskState::kLapsed:
      site.step = attempt_->phase == JobPhase::kStopping ? SiteStep::kReleased : SiteStep::kUnknown;
      break;
    case TaskState::kStopped:
    case TaskState::kLeaseExpired:
      OnStopped(n, now);
      break;
  }
}

// Either the lease expired, or another scheduler has read a stop that this one has not read yet.
void AttemptDriver::OnStopped(std::size_t site, MonotonicTime now) {
  sites_[site].step = SiteStep::kReleased;
  if (attempt_->phase != JobPhase::kStopping) {
    Fail(StopReason::kWorkerLost, std::nullopt, now);
  }
}

void AttemptDriver::OnRefusal(std::size_t n, const Refusal& refusal, MonotonicTime now) {
  SiteProgress& site = sites_[n];
  const SiteAction action = std::exchange(site.awaited, SiteAction::kNone);
  site.retry_at = now + options_.retry_pause;
  // A checkpoint is tried only once: a worker that cannot write it has to be stopped anyway.
  site.is_checkpointed |= action == SiteAction::kCheckpoint;
  wake_at_ = now;
  if (attempt_->phase == JobPhase::kStopping) {
    OnRefusalWhileStopping(n, action, refusal);
    return;
  }
  switch (refusal.code) {
    case ResultCode::kWorkerRefused:
      Fail(StopReason::kStartDeadline, attempt_->sites[n].worker, now);
      break;
    case ResultCode::kReservationLapsed:
      site.step = SiteStep::kUnknown;
      break;
    case ResultCode::kUnknownJob:
      if (action == SiteAction::kRenew) {
        // The worker was restarted and has lost the task.
        Fail(StopReason::kWorkerLost, std::nullopt, now);
      } else {
        site.step = SiteStep::kUnknown;
      }
      break;
    default:
      // Unreachable, not free yet, or superseded by a record that was not read yet: retry.
      if (action == SiteAction::kRenew) {
        site.next_renewal = site.retry_at;
      }
      break;
  }
}

void AttemptDriver::OnRefusalWhileStopping(std::size_t site, SiteAction action,
                                           const Refusal& refusal) {
  const bool is_unknown = refusal.code == ResultCode::kUnknownJob && action == SiteAction::kStop;
  const bool is_gone = is_unknown || refusal.code == ResultCode::kTokenSuperseded;
  if (is_gone) {
    sites_[site].step = SiteStep::kReleased;
  }
}

void AttemptDriver::OnNotSent(std::size_t site, MonotonicTime now) {
  sites_[site].awaited = SiteAction::kNone;
  sites_[site].retry_at = now + options_.retry_pause;
  WakeBy(sites_[site].retry_at);
}

void AttemptDriver::Fail(StopReason reason, std::optional<WorkerId> suspect, MonotonicTime now) {
  if (!failure_) {
    failure_ = Failure{reason, suspect, now};
  }
}

bool AttemptDriver::IsReady(const SiteProgress& site, MonotonicTime now) const {
  return site.awaited == SiteAction::kNone && site.retry_at <= now;
}

bool AttemptDriver::AllAre(SiteStep step) const {
  return std::ranges::all_of(sites_, [step](const SiteProgress& it) { return it.step == step; });
}

bool AttemptDriver::HasRankDelayPassed(const DriverView& view, MonotonicTime since) const {
  return view.now - since >= options_.rank_delay * static_cast<std::int64_t>(view.rank);
}

}  // namespace clementineloom::scheduler
