#pragma once

#include <compare>
#include <cstddef>
#include <string>

#include "ctl/trace/trace_outcome.h"

namespace clementineloom::ctl::trace {

/// @brief What became of a job and which line decided it. An immutable value.
struct Verdict {
  TraceOutcome outcome = TraceOutcome::kOpen;
  /// Index in the timeline.
  std::size_t deciding_line = 0;
  /// In one sentence, without a full stop.
  std::string cause;

  friend auto operator<=>(const Verdict&, const Verdict&) = default;
};

}  // namespace clementineloom::ctl::trace
