#pragma once

#include <span>

#include "ctl/trace/timeline_line.h"
#include "ctl/trace/verdict.h"

namespace clementineloom::ctl::trace {

/// @brief Decides what became of a job and which line decided it.
///
/// A failure or cancellation goes before an answer that left the outcome unknown, and that before a
/// delay. The line that decides about an ended run is the one that made it end, such as the loss of
/// its worker. Precondition: a line of the timeline names the job. Thread safety: a pure function.
[[nodiscard]] Verdict Decide(std::span<const TimelineLine> timeline);

}  // namespace clementineloom::ctl::trace
