#include "clementineloom/workload/drain_move.h"

#include <algorithm>

namespace clementineloom::workload {
namespace {

constexpr std::uint32_t kWhole = 100;
// Less than this was done: the work that a move throws away is less than what it saves.
constexpr std::uint32_t kLittleDone = 50;
// For the way of the order, and for what is heard of a stop before the worker is gone.
constexpr Milliseconds kOrderMargin{400};

// Time that the run still needs: from its pace so far, else from the estimate.
Milliseconds ExpectedRest(const StepSpec& spec, const PlacedRun& run, SteadyTime now) {
  const auto elapsed = std::chrono::duration_cast<Milliseconds>(now - run.placed_at);
  if (run.progress_percent == 0 || run.is_adopted || !run.checkpoint.empty()) {
    // Neither the start nor the share of an earlier run is known.
    const std::int64_t rest_percent = kWhole - std::min(run.progress_percent, kWhole);
    return Milliseconds(spec.estimate_ms * rest_percent / kWhole);
  }
  return elapsed * (kWhole - std::min(run.progress_percent, kWhole)) / run.progress_percent;
}

}  // namespace

std::optional<SteadyTime> DrainStopAt(const StepSpec& spec, const PlacedRun& run, SteadyTime now,
                                      const DrainTimes& times) {
  if (!spec.runs_until_cancelled && now + ExpectedRest(spec, run, now) <= times.leaves_at) {
    return std::nullopt;
  }
  if (spec.saves_checkpoints || spec.runs_until_cancelled) {
    return times.leaves_at - times.stop_timeout - kOrderMargin;
  }
  return run.progress_percent < kLittleDone ? std::optional(now) : std::nullopt;
}

}  // namespace clementineloom::workload
