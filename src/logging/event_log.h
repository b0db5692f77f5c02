#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include "clementineloom/errors/result.h"
#include "logging/log_field.h"
#include "logging/log_level.h"

namespace clementineloom::logging {

/// @brief Sets level and destination of the process's log. Call once, before other threads start;
/// lines that are pending at the exit of the process are written then.
/// @param level "debug", "info", "warning" or "error"
/// @param file path, "-" for standard output, or empty for standard error
/// Errors: kInvalidValue (level), kFileUnreadable (the file cannot be opened).
[[nodiscard]] Result<void> ConfigureLog(const std::string& level, const std::string& file);

/// @brief Writes one key=value line for an event.
///
/// It never waits for the destination: a thread of the log writes the lines, and those that it
/// cannot keep up with are left out and counted in a line of their own. Thread safety: any thread.
/// @code
/// LogEvent(LogLevel::kInfo, "job_placed", {{"job", 7}, {"attempt", 1}});
/// @endcode
void LogEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

}  // namespace clementineloom::logging
