#pragma once

#include <string_view>
#include <vector>

#include "ctl/trace/instance_log.h"
#include "ctl/trace/timeline_line.h"

namespace clementineloom::ctl::trace {

/// @brief The lines of all logs that concern a job, by time; lines of one time keep the order of
/// the logs. Empty if no line names the job.
///
/// Lines that do not name the job are taken if they concern a worker while the job had runs there,
/// the ownership around the time of the job, or the store and the process as seen by an instance
/// that handled the job. Precondition: the clocks of the logs agree within a second.
/// Thread safety: a pure function.
[[nodiscard]] std::vector<TimelineLine> SelectLines(std::string_view job,
                                                    const std::vector<InstanceLog>& logs);

}  // namespace clementineloom::ctl::trace
