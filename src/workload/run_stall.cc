#include "clementineloom/workload/run_stall.h"

#include <algorithm>

namespace clementineloom::workload {
namespace {

// Progress is reported in percent: a task that works gains one at least in this share of its time,
// also on a worker that is several times slower than the estimate.
constexpr std::int64_t kShareOfEstimate = 12;
// Start and restore show no progress either.
constexpr Milliseconds kShortest{1'500};
// Others may leave a task that fills no processors for some seconds.
constexpr Milliseconds kShortestFill{8'000};

}  // namespace

bool HasStalled(const StepSpec& spec, const PlacedRun& run, SteadyTime now,
                Milliseconds gang_timeout) {
  constexpr std::uint32_t kWhole = 100;
  if (spec.runs_until_cancelled || run.progress_percent >= kWhole || run.pace_percent != kWhole) {
    return false;
  }
  const bool may_wait_for_others = spec.is_gang && run.progress_percent == 0;
  const Milliseconds patience = std::max(spec.fills_idle_cpu ? kShortestFill : kShortest,
                                         Milliseconds(spec.estimate_ms / kShareOfEstimate)) +
                                (may_wait_for_others ? gang_timeout : Milliseconds(0));
  return now - run.progressed_at >= patience;
}

}  // namespace clementineloom::workload
