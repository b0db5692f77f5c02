#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "clementineloom/model/instant.h"
#include "clementineloom/model/job_id.h"
#include "support/attempt_run.h"
#include "support/time_window.h"

namespace clementineloom::bench {

/// @brief Simulates workers by finish times: tracks the remaining run time and the work of each
/// job.
///
/// An attempt that is asked to stop keeps its progress in a checkpoint; one that fails or loses a
/// worker loses the progress of that attempt. The rule is the same for every policy.
/// Thread safety: none.
class FakeFleet {
 public:
  /// Time to restore a checkpoint, spent by every attempt that follows a stopped one.
  static constexpr Duration kRestoreTime = std::chrono::seconds(30);
  /// Time after which the failing worker fails a task.
  static constexpr Duration kFailTime = std::chrono::seconds(2);

  /// @param measured window whose work measured_work() counts
  explicit FakeFleet(TimeWindow measured) : measured_(measured) {}

  void AddJob(JobId job, Duration run_time) { remaining_run_time_[job] = run_time; }

  /// @brief Starts an attempt and returns the instant at which it ends unless it is stopped.
  /// @param will_fail whether the failing worker takes part
  Instant Start(JobId job, std::uint32_t attempt, std::uint32_t accelerators, bool will_fail,
                Instant now);

  /// @brief The running attempt of the job, or nothing.
  [[nodiscard]] std::optional<AttemptRun> RunningAttempt(JobId job) const;

  /// @brief Ends the running attempt, if any, and keeps its progress.
  void Checkpoint(JobId job, Instant now) { End(job, now, true); }

  /// @brief Ends the running attempt, if any, and discards its progress.
  void Lose(JobId job, Instant now) { End(job, now, false); }

  /// @brief Accelerator time in the measured window of all work that was kept.
  [[nodiscard]] Duration measured_work() const { return measured_work_; }

 private:
  // Counts the work of an attempt only if its progress is kept.
  void End(JobId job, Instant now, bool keeps_progress);

  const TimeWindow measured_;
  std::map<JobId, Duration> remaining_run_time_;
  std::map<JobId, AttemptRun> running_;
  std::set<JobId> checkpointed_;
  Duration measured_work_{0};
};

}  // namespace clementineloom::bench
