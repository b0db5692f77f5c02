#pragma once

#include <optional>

#include "clementineloom/workload/job_submission.h"
#include "clementineloom/workload/job_table.h"
#include "clementineloom/workload/steady_time.h"
#include "clementineloom/workload/worker_pool.h"

namespace clementineloom::workload {

/// @brief How long a job is expected to wait if it goes last: the time in which the workers of its
/// service do the work that waits there, by the resource that is shortest. 0 while the service has
/// room for all of it, and where it has no workers, since nothing can be said then.
///
/// Load: more is submitted than a full fleet can begin within the objectives of the jobs.
/// Complexity: O(jobs + workers). Thread safety: a pure function.
[[nodiscard]] Milliseconds ExpectedWait(const JobTable& jobs, const WorkerPool& workers,
                                        const JobSubmission& submission);

/// @brief How long a job may wait and still meet its objective, by its estimates; nothing for a job
/// without an objective or an end, and for one that is due later. Thread safety: a pure function.
[[nodiscard]] std::optional<Milliseconds> WaitWithinObjective(const JobSubmission& submission);

}  // namespace clementineloom::workload
