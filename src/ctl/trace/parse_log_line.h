#pragma once

#include <optional>
#include <string_view>

#include "ctl/trace/log_line.h"

namespace clementineloom::ctl::trace {

/// @brief Reads one line of a log, without its end of line: "time=T level=L event=E KEY=VALUE...",
/// or "T INSTANCE level=L event=E KEY=VALUE..." as collectors write it. Nothing if the line is cut
/// off within a value, has no time, level or event, or is other text.
/// Thread safety: a pure function.
[[nodiscard]] std::optional<LogLine> ParseLogLine(std::string_view text);

}  // namespace clementineloom::ctl::trace
