#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include "clementineloom/errors/result.h"
#include "logging/log_field.h"
#include "logging/log_level.h"

namespace clementineloom::logging {

/// @brief Sets level and destination of the process's log. Call once, before other threads start;
/// buffered lines are written when the process exits.
/// @param level "debug", "info", "warning" or "error"
/// @param file path, "-" for standard output, or empty for standard error
/// Errors: kInvalidValue (level), kFileUnreadable (the file cannot be opened).
[[nodiscard]] Result<void> ConfigureLog(const std::string& level, const std::string& file);

/// @brief Writes one key=value line for an event.
///
/// Never waits for the destination: a separate thread writes the lines. Lines that do not fit its
/// buffer are dropped and counted in a summary line. Thread safety: any thread.
/// @code
/// LogEvent(LogLevel::kInfo, "job_placed", {{"job", 7}, {"attempt", 1}});
/// @endcode
void LogEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

}  // namespace clementineloom::logging
