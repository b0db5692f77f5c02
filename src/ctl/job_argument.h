#pragma once

#include <string>

#include "clementineloom/errors/result.h"
#include "clementineloom/model/job_id.h"

namespace clementineloom::ctl {

/// @brief Reads a job id from the command line. Errors: kUsage.
[[nodiscard]] Result<JobId> ReadJobArgument(const std::string& text);

}  // namespace clementineloom::ctl
