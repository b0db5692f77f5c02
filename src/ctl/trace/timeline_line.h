#pragma once

#include <compare>

#include "ctl/trace/log_line.h"

namespace clementineloom::ctl::trace {

/// @brief A line that concerns a job. An immutable value.
struct TimelineLine {
  LogLine line;
  /// Whether the line names the job; otherwise it concerns a worker of the job, or the store or
  /// ownership while the job was handled.
  bool names_job = false;

  friend auto operator<=>(const TimelineLine&, const TimelineLine&) = default;
};

}  // namespace clementineloom::ctl::trace
