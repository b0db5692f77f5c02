#pragma once

#include <compare>
#include <cstdint>

#include "entry/owner/run_hold_reason.h"
#include "entry/owner/worker_contact.h"

namespace clementineloom::entry {

/// @brief Why a run holds room, and for how long. An immutable value.
struct RunHold {
  RunHoldReason reason = RunHoldReason::kOutcome;
  WorkerContact contact = WorkerContact::kAnswering;
  /// Time after which it ends if nothing more is heard of the run, in ms; 0 where the next answer
  /// decides.
  std::int64_t ends_in_ms = 0;

  friend auto operator<=>(const RunHold&, const RunHold&) = default;
};

}  // namespace clementineloom::entry
