#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "clementineloom/workload/end_reason.h"
#include "clementineloom/workload/job_table.h"
#include "clementineloom/workload/task_run.h"

namespace clementineloom::workload {

/// @brief What follows from the end of a run. An immutable value.
struct RunOutcome {
  std::vector<WorkloadRecord> records;
  /// The other members of the gang cannot go on either.
  bool breaks_gang = false;
  /// Failed runs of the task, or of its gang, if this end is one of them; otherwise 0.
  std::uint32_t failures = 0;
  /// Final state of the job, if this end decided it.
  std::optional<JobState> ended_job;
};

/// @brief Decides what the end of a run means for its task and its job.
///
/// An end of a run that is not the task's last recorded one, or on another worker, changes nothing;
/// but kDone counts unless a later run of the task is recorded as placed.
/// Thread safety: a pure function.
/// @param checkpoint newest progress of the run; empty for none
[[nodiscard]] RunOutcome OutcomeOf(const JobTable& jobs, const std::string& worker,
                                   const TaskRun& run, EndReason reason,
                                   const std::string& checkpoint);

}  // namespace clementineloom::workload
