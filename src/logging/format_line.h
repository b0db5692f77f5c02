#pragma once

#include <string>

#include "logging/log_line.h"

namespace clementineloom::logging {

/// @brief Formats "time=2026-12-05T13:22:21.123Z level=INFO event=...", without a line break.
/// Thread safety: any thread.
[[nodiscard]] std::string FormatLine(const LogLine& line);

}  // namespace clementineloom::logging
