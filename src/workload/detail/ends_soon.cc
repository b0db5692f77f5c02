#include "clementineloom/workload/detail/ends_soon.h"

#include "clementineloom/workload/expected_remaining_time.h"

namespace clementineloom::workload::detail {
namespace {

// Stopping a run takes a good part of this time as well, and loses its work.
constexpr Milliseconds kEndsSoon{400};
// A run that is overdue by more than this takes longer than its progress suggested, so it is not
// waited for.
constexpr Milliseconds kOverdue{300};

}  // namespace

bool EndsSoon(const PlacedRun& run, SteadyTime now) {
  if (run.stage != RunStage::kRunning) {
    return false;
  }
  const auto remaining = ExpectedRemainingTime(run, now);
  return remaining && *remaining <= kEndsSoon && *remaining >= -kOverdue;
}

}  // namespace clementineloom::workload::detail
