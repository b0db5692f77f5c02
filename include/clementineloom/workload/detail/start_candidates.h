#pragma once

#include <cstdint>
#include <vector>

#include "clementineloom/workload/detail/start_candidate.h"
#include "clementineloom/workload/job_table.h"
#include "clementineloom/workload/worker_pool.h"

namespace clementineloom::workload::detail {

/// @brief The steps with tasks that may start, most urgent first: by priority, then by due time.
///
/// A task whose run still holds room on a worker may not start again. A gang is listed only if all
/// its tasks may start.
[[nodiscard]] std::vector<StartCandidate> StartCandidates(const JobTable& jobs,
                                                          const WorkerPool& workers,
                                                          std::int64_t unix_now_ms);

}  // namespace clementineloom::workload::detail
