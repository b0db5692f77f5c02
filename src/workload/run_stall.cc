#include "clementineloom/workload/run_stall.h"

#include <algorithm>

namespace clementineloom::workload {
namespace {

// Progress is reported in percent. A working task gains at least one percent within its estimate
// divided by this number, even on a worker that is several times slower than estimated.
constexpr std::int64_t kEstimateDivisor = 12;
// Starting and restoring a checkpoint show no progress either.
constexpr Milliseconds kMinTimeout{1'500};
// Other tasks may leave a fill task without processors for some seconds.
constexpr Milliseconds kMinFillTimeout{8'000};

}  // namespace

bool HasStalled(const StepSpec& spec, const PlacedRun& run, SteadyTime now,
                Milliseconds gang_timeout) {
  constexpr std::uint32_t kFullPercent = 100;
  if (spec.runs_until_cancelled || run.progress_percent >= kFullPercent ||
      run.pace_percent != kFullPercent) {
    return false;
  }
  const bool may_wait_for_others = spec.is_gang && run.progress_percent == 0;
  const Milliseconds timeout = std::max(spec.fills_idle_cpu ? kMinFillTimeout : kMinTimeout,
                                        Milliseconds(spec.estimate_ms / kEstimateDivisor)) +
                               (may_wait_for_others ? gang_timeout : Milliseconds(0));
  return now - run.progressed_at >= timeout;
}

}  // namespace clementineloom::workload
