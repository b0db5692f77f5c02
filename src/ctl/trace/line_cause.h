#pragma once

#include <cstddef>
#include <span>
#include <string>

#include "ctl/trace/timeline_line.h"

namespace clementineloom::ctl::trace {

/// @brief What a line says about the cause of a failure or delay, with the lines around it that
/// explain it, in one sentence without a full stop. Precondition: index is within the timeline.
/// Thread safety: a pure function.
[[nodiscard]] std::string LineCause(std::span<const TimelineLine> timeline, std::size_t index);

}  // namespace clementineloom::ctl::trace
