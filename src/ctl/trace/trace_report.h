#pragma once

#include <string>
#include <vector>

#include "ctl/report.h"
#include "ctl/trace/instance_log.h"
#include "ctl/trace/timeline_line.h"
#include "ctl/trace/verdict.h"

namespace clementineloom::ctl::trace {

/// @brief The report of a trace: the timeline, in which ">" marks the deciding line, and a summary.
/// Precondition: the verdict's line is within the timeline. Thread safety: a pure function.
[[nodiscard]] Report TraceReport(const std::string& job, const std::vector<InstanceLog>& logs,
                                 const std::vector<TimelineLine>& timeline, const Verdict& verdict);

}  // namespace clementineloom::ctl::trace
