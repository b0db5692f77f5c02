#include "clementineloom/workload/expected_rest.h"

#include <algorithm>
#include <cstdint>

namespace clementineloom::workload {

std::optional<Milliseconds> ExpectedRest(const PlacedRun& run, SteadyTime now) {
  constexpr std::uint32_t kWhole = 100;
  const std::uint32_t done = std::min(run.progress_percent, kWhole);
  if (done <= run.first_percent || run.first_percent_at == SteadyTime() ||
      run.progressed_at <= run.first_percent_at) {
    return std::nullopt;
  }
  const auto spent =
      std::chrono::duration_cast<Milliseconds>(run.progressed_at - run.first_percent_at);
  const auto since = std::chrono::duration_cast<Milliseconds>(now - run.progressed_at);
  return spent * (kWhole - done) / (done - run.first_percent) - since;
}

}  // namespace clementineloom::workload
