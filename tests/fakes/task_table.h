#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "clementineloom/errors/result.h"
#include "fakes/task_entry.h"
#include "platform/renew_command.h"
#include "platform/reserve_command.h"
#include "platform/start_command.h"

namespace clementineloom::fakes {

/// @brief The tasks of a worker under the rules of the worker protocol; callers pass the current
/// time.
///
/// The command of a task determines its end: "sleep_ms=N" runs for N ms, "fail" ends in failure;
/// "sleep_ms=N fail" does both, and any other command succeeds at once. Only the newest task of a
/// job is kept.
///
/// Errors of all commands: kTokenSuperseded. Thread safety: none.
class TaskTable {
 public:
  explicit TaskTable(std::uint16_t accelerators) : accelerators_(accelerators) {}

  /// Errors: kAcceleratorsNotFree.
  [[nodiscard]] Result<platform::TaskReport> Reserve(const platform::ReserveCommand& command,
                                                     Instant now);
  /// Errors: kUnknownJob, kReservationLapsed, kWorkerRefused (the task was stopped).
  [[nodiscard]] Result<platform::TaskReport> Start(const platform::StartCommand& command,
                                                   Instant now);
  /// Errors: kUnknownJob.
  [[nodiscard]] Result<platform::TaskReport> Renew(const platform::RenewCommand& command,
                                                   Instant now);
  /// Errors: kUnknownJob.
  [[nodiscard]] Result<platform::TaskReport> Checkpoint(const platform::TaskKey& key, Instant now);
  [[nodiscard]] Result<platform::TaskReport> Stop(const platform::TaskKey& key, Instant now);

  /// @brief All tasks by job.
  [[nodiscard]] std::vector<platform::TaskReport> List(Instant now);

  /// @brief Makes every task that is started from now on fail at once.
  void set_fail_everything(bool value) { fail_everything_ = value; }

 private:
  void Advance(Instant now);
  [[nodiscard]] Result<void> CheckToken(const platform::TaskKey& key) const;
  [[nodiscard]] Result<TaskEntry*> Find(const platform::TaskKey& key);
  [[nodiscard]] std::uint32_t AcceleratorsHeldByOthers(JobId job) const;

  std::uint16_t accelerators_;
  bool fail_everything_ = false;
  std::map<JobId, TaskEntry> tasks_;
};

}  // namespace clementineloom::fakes
