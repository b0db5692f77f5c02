#include "clementineloom/workload/expected_remaining_time.h"

#include <algorithm>
#include <cstdint>

namespace clementineloom::workload {

std::optional<Milliseconds> ExpectedRemainingTime(const PlacedRun& run, SteadyTime now) {
  constexpr std::uint32_t kFullPercent = 100;
  const std::uint32_t done = std::min(run.progress_percent, kFullPercent);
  if (done <= run.first_percent || run.first_percent_at == SteadyTime() ||
      run.progressed_at <= run.first_percent_at) {
    return std::nullopt;
  }
  const auto elapsed =
      std::chrono::duration_cast<Milliseconds>(run.progressed_at - run.first_percent_at);
  const auto since_progress = std::chrono::duration_cast<Milliseconds>(now - run.progressed_at);
  return elapsed * (kFullPercent - done) / (done - run.first_percent) - since_progress;
}

}  // namespace clementineloom::workload
