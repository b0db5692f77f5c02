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

/// @brief Workers reduced to finish times: what each job still has to run, and what was done.
///
/// An attempt that is asked to stop keeps its progress in a checkpoint; one that fails or loses a
/// worker loses the progress of that attempt. The rule is the same for every policy.
/// Thread safety: none.
class FakeFleet {
 public:
  /// Time to restore a checkpoint, paid by every attempt that follows a stopped one.
  static constexpr Duration kRestoreTime = std::chrono::seconds(30);
  /// Time in which the failing worker fails a task.
  static constexpr Duration kFailTime = std::chrono::seconds(2);

  /// @param measured work done within this window is counted apart
  explicit FakeFleet(TimeWindow measured) : measured_(measured) {}

  void AddJob(JobId job, Duration run_time) { left_[job] = run_time; }

  /// @brief Starts an attempt and gives the instant at which it ends if nothing stops it.
  /// @param is_doomed whether the failing worker takes part
  Instant Start(JobId job, std::uint32_t attempt, std::uint32_t accelerators, bool is_doomed,
                Instant now);

  /// @brief The attempt of the job that runs, or nothing.
  [[nodiscard]] std::optional<AttemptRun> RunningAttempt(JobId job) const;

  /// @brief Ends the running attempt, if any, and keeps its progress.
  void Checkpoint(JobId job, Instant now) { End(job, now, true); }

  /// @brief Ends the running attempt, if any, and loses its progress.
  void Lose(JobId job, Instant now) { End(job, now, false); }

  /// @brief Accelerator time in the measured window of all work that was kept.
  [[nodiscard]] Duration measured_work() const { return measured_work_; }

 private:
  // Work of an attempt counts only once it is kept.
  void End(JobId job, Instant now, bool keeps_progress);

  const TimeWindow measured_;
  std::map<JobId, Duration> left_;
  std::map<JobId, AttemptRun> running_;
  std::set<JobId> checkpointed_;
  Duration measured_work_{0};
};

}  // namespace clementineloom::bench
