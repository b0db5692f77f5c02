#pragma once

#include <boost/json/array.hpp>

#include "clementineloom/errors/result.h"
#include "ctl/invocation.h"
#include "ctl/report.h"

namespace clementineloom::ctl {

/// @brief Requests a plan for the edits and reports it; nothing takes effect.
/// Precondition: the verb has the option --author. Errors: those of SchedulerConnection::Call.
[[nodiscard]] Result<Report> PlanReport(const Invocation& invocation,
                                        const boost::json::array& edits);

/// @brief The report that there is nothing to change.
[[nodiscard]] Report NoChangeReport();

}  // namespace clementineloom::ctl
