#pragma once

#include <string_view>

#include "ctl/trace/log_line.h"

namespace clementineloom::ctl::trace {

/// @brief Whether a line names a job: by its field "job", by a task of the job, or by a caller's
/// path that ends with the id. Thread safety: a pure function.
[[nodiscard]] bool NamesJob(const LogLine& line, std::string_view job);

}  // namespace clementineloom::ctl::trace
