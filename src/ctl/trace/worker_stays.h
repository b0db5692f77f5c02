#pragma once

#include <span>
#include <vector>

#include "ctl/trace/log_line.h"
#include "ctl/trace/worker_stay.h"

namespace clementineloom::ctl::trace {

/// @brief The workers on which a job had runs, in the order of the first line of each.
///
/// A stay ends with the last end of a run on the worker, or else with the last line of the job.
/// @param job_lines lines that name the job, by time
/// Thread safety: a pure function.
[[nodiscard]] std::vector<WorkerStay> WorkerStaysOf(std::span<const LogLine> job_lines);

}  // namespace clementineloom::ctl::trace
