#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "clementineloom/workload/steady_time.h"
#include "clementineloom/workload/urgent_load.h"

namespace clementineloom::workload {

/// @brief How many accelerators urgent work has needed lately, as a forecast of what it needs next.
///
/// The forecast is the greatest demand of the last seconds: urgent jobs run for seconds and arrive
/// in bursts, so a mean would leave the peaks without room. Once none has arrived for some seconds,
/// nothing is forecast, whatever still runs. Thread safety: none.
class UrgentDemand {
 public:
  /// @brief Notes the urgent work of a service at a time. Times must not decrease.
  void Note(SteadyTime now, const UrgentLoad& load);

  /// @brief Accelerators that urgent work is expected to need at a time.
  [[nodiscard]] std::int64_t Forecast(SteadyTime now) const;

 private:
  // Several times the run time of an urgent task, and short enough to follow a change of load.
  static constexpr Milliseconds kWindow{10'000};
  // The greatest demand of an interval, so that the number of entries is bounded.
  static constexpr Milliseconds kInterval{500};

  // Without an arrival for this time, room that is kept free is of no use to urgent work, while
  // other work waits for it.
  static constexpr Milliseconds kArrivalWindow{3'000};

  struct Peak {
    SteadyTime began_at;
    std::int64_t accelerators = 0;
  };

  std::deque<Peak> peaks_;
  std::int64_t newest_due_at_ms_ = 0;
  std::optional<SteadyTime> arrived_at_;
};

}  // namespace clementineloom::workload
