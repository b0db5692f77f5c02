#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "clementineloom/errors/refusal.h"
#include "platform/task_report.h"
#include "platform/worker_command.h"
#include "scheduler/attempt.h"
#include "scheduler/attempt_steps.h"
#include "scheduler/driver_options.h"
#include "scheduler/driver_view.h"
#include "scheduler/member_progress.h"

namespace clementineloom::scheduler {

/// @brief Takes one attempt through reserve, start, renewals and stop, without input or output.
///
/// A gang starts on all of its workers or is released on all of them: every failure leads to a
/// StopRequested record, and the workers are only told to stop after that record was read back.
/// Thread safety: none; the task driver owns it.
class AttemptDriver {
 public:
  /// The options have to outlive it.
  AttemptDriver(std::shared_ptr<const Attempt> attempt, const DriverOptions& options,
                MonotonicTime now);

  /// @brief Replaces the attempt by a newer form of it.
  void Update(std::shared_ptr<const Attempt> attempt, MonotonicTime now);

  /// @brief The steps that are due now. The caller sends every command or reports it by OnNotSent.
  [[nodiscard]] AttemptSteps Next(const DriverView& view);

  /// @brief The command for a member.
  [[nodiscard]] platform::WorkerCommand CommandFor(const MemberCommand& command) const;

  void OnReport(std::size_t member, const platform::TaskReport& report, MonotonicTime now);
  void OnRefusal(std::size_t member, const Refusal& refusal, MonotonicTime now);
  void OnNotSent(std::size_t member, MonotonicTime now);

  [[nodiscard]] const Attempt& attempt() const { return *attempt_; }

  /// @brief When Next has to be called again unless an event arrives earlier.
  [[nodiscard]] MonotonicTime wake_at() const { return wake_at_; }

  /// @brief Whether a start has begun and is neither complete nor abandoned.
  [[nodiscard]] bool is_starting() const {
    return attempt_->phase == JobPhase::kPlaced && start_began_at_.has_value();
  }

 private:
  struct Failure {
    StopReason reason = StopReason::kAttemptFailed;
    std::optional<WorkerId> suspect;
    MonotonicTime since;
  };

  void StepPlaced(const DriverView& view, AttemptSteps& steps);
  void StepRunning(const DriverView& view, AttemptSteps& steps);
  void StepStopping(const DriverView& view, AttemptSteps& steps);
  void ReserveAndStart(const DriverView& view, AttemptSteps& steps);
  void CheckStartDeadline(MonotonicTime now);
  void Renew(const DriverView& view, AttemptSteps& steps);
  void ProposeStopIfDue(const DriverView& view, AttemptSteps& steps);
  void ProposeEndIfReached(const DriverView& view, AttemptSteps& steps);
  void Propose(RecordBody body, MonotonicTime now, AttemptSteps& steps);
  void Command(std::size_t member, MemberAction action, AttemptSteps& steps);
  void Fail(StopReason reason, std::optional<WorkerId> suspect, MonotonicTime now);
  void OnStopped(std::size_t member, MonotonicTime now);
  void OnRefusalWhileStopping(std::size_t member, MemberAction action, const Refusal& refusal);
  [[nodiscard]] bool IsReady(const MemberProgress& member, MonotonicTime now) const;
  [[nodiscard]] bool AllAre(MemberStep step) const;
  [[nodiscard]] bool IsReleased(std::size_t member, MonotonicTime now) const;
  [[nodiscard]] bool HasRankDelayPassed(const DriverView& view, MonotonicTime since) const;
  [[nodiscard]] std::chrono::milliseconds RenewInterval(std::size_t rank) const;
  void WakeBy(MonotonicTime time) { wake_at_ = std::min(wake_at_, time); }

  const DriverOptions& options_;
  std::shared_ptr<const Attempt> attempt_;
  std::vector<MemberProgress> members_;
  /// When this process first saw the attempt in its phase.
  MonotonicTime phase_since_;
  /// When this process first saw that the attempt has to stop.
  std::optional<MonotonicTime> due_stop_since_;
  std::optional<MonotonicTime> start_began_at_;
  std::optional<Failure> failure_;
  std::optional<MonotonicTime> succeeded_since_;
  MonotonicTime next_proposal_;
  MonotonicTime wake_at_;
};

}  // namespace clementineloom::scheduler
