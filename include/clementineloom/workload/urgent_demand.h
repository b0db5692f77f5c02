#pragma once

#include <cstdint>
#include <deque>

#include "clementineloom/workload/steady_time.h"

namespace clementineloom::workload {

/// @brief How many accelerators urgent work has needed lately, as a forecast of what it needs next.
///
/// The forecast is the greatest demand of the last seconds: urgent jobs run for seconds and arrive
/// in bursts, so a mean would leave the peaks without room. Thread safety: none.
class UrgentDemand {
 public:
  /// @brief Notes what urgent work holds and waits for at a time. Times must not decrease.
  void Note(SteadyTime now, std::int64_t accelerators);

  /// @brief Accelerators that urgent work is expected to need at a time.
  [[nodiscard]] std::int64_t Forecast(SteadyTime now) const;

 private:
  // Several times the run time of an urgent task, and short enough to follow a change of load.
  static constexpr Milliseconds kWindow{10'000};
  // The greatest demand of an interval, so that the number of entries is bounded.
  static constexpr Milliseconds kInterval{500};

  struct Peak {
    SteadyTime began_at;
    std::int64_t accelerators = 0;
  };

  std::deque<Peak> peaks_;
};

}  // namespace clementineloom::workload
