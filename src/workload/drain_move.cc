#include "clementineloom/workload/drain_move.h"

#include <algorithm>

#include "clementineloom/workload/expected_rest.h"

namespace clementineloom::workload {
namespace {

constexpr std::uint32_t kWhole = 100;
// Less than this was done: the work that a move throws away is less than what it saves.
constexpr std::uint32_t kLittleDone = 50;
// For the way of the order, and for what is heard of a stop before the worker is gone.
constexpr Milliseconds kOrderMargin{400};

// By its pace so far, or else by the caller's estimate.
Milliseconds RestOf(const StepSpec& spec, const PlacedRun& run, SteadyTime now) {
  const std::uint32_t done = std::min(run.progress_percent, kWhole);
  const Milliseconds estimate(spec.estimate_ms * (kWhole - done) / kWhole);
  return ExpectedRest(run, now).value_or(estimate);
}

}  // namespace

std::optional<SteadyTime> DrainStopAt(const StepSpec& spec, const PlacedRun& run, SteadyTime now,
                                      const DrainTimes& times) {
  if (!spec.runs_until_cancelled && now + RestOf(spec, run, now) <= times.leaves_at) {
    return std::nullopt;
  }
  if (spec.saves_checkpoints || spec.runs_until_cancelled) {
    return times.leaves_at - times.stop_timeout - kOrderMargin;
  }
  return run.progress_percent < kLittleDone ? std::optional(now) : std::nullopt;
}

}  // namespace clementineloom::workload
