#pragma once

#include "clementineloom/errors/result.h"
#include "ctl/invocation.h"
#include "ctl/report.h"

namespace clementineloom::ctl {

/// @brief Plans to take the data centre of the first argument out of or into service.
/// Precondition: the verb has the option --author.
/// Errors: kUnknownDataCentre; those of SchedulerConnection::Call.
[[nodiscard]] Result<Report> DataCentrePlan(const Invocation& invocation, bool in_service);

}  // namespace clementineloom::ctl
