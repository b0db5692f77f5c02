#include "clementineloom/workload/expected_rest.h"

#include <algorithm>
#include <cstdint>

namespace clementineloom::workload {

std::optional<Milliseconds> ExpectedRest(const PlacedRun& run, SteadyTime now) {
  constexpr std::uint32_t kWhole = 100;
  const std::uint32_t done = std::min(run.progress_percent, kWhole);
  // A run that resumed, or whose start was not seen, shows its pace from the second report on.
  const bool began_at_zero = run.checkpoint_at_start.empty() && !run.is_adopted;
  const std::uint32_t first = began_at_zero ? 0 : run.first_percent;
  const SteadyTime first_at = began_at_zero ? run.placed_at : run.first_percent_at;
  if (done <= first || first_at == SteadyTime() || run.progressed_at <= first_at) {
    return std::nullopt;
  }
  const auto spent = std::chrono::duration_cast<Milliseconds>(run.progressed_at - first_at);
  const auto since = std::chrono::duration_cast<Milliseconds>(now - run.progressed_at);
  return spent * (kWhole - done) / (done - first) - since;
}

}  // namespace clementineloom::workload
