#include "clementineloom/workload/drain_move.h"

#include <algorithm>

#include "clementineloom/workload/expected_remaining_time.h"

namespace clementineloom::workload {
namespace {

constexpr std::uint32_t kFullPercent = 100;
// Below this progress, a move loses less work than it saves.
constexpr std::uint32_t kMovePercent = 50;
// Time for the order to reach the worker, and for the end of the run to be reported before it
// leaves.
constexpr Milliseconds kOrderMargin{400};

// By its progress so far, or else by the caller's estimate.
Milliseconds RemainingTimeOf(const StepSpec& spec, const PlacedRun& run, SteadyTime now) {
  const std::uint32_t done = std::min(run.progress_percent, kFullPercent);
  const Milliseconds estimate(spec.estimate_ms * (kFullPercent - done) / kFullPercent);
  return ExpectedRemainingTime(run, now).value_or(estimate);
}

}  // namespace

std::optional<SteadyTime> DrainStopAt(const StepSpec& spec, const PlacedRun& run, SteadyTime now,
                                      const DrainTimes& times) {
  if (!spec.runs_until_cancelled && now + RemainingTimeOf(spec, run, now) <= times.leaves_at) {
    return std::nullopt;
  }
  if (spec.saves_checkpoints || spec.runs_until_cancelled) {
    return times.leaves_at - times.stop_timeout - kOrderMargin;
  }
  return run.progress_percent < kMovePercent ? std::optional(now) : std::nullopt;
}

}  // namespace clementineloom::workload
