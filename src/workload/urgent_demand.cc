#include "clementineloom/workload/urgent_demand.h"

#include <algorithm>

namespace clementineloom::workload {

void UrgentDemand::Note(SteadyTime now, const UrgentLoad& load) {
  if (load.newest_due_at_ms > newest_due_at_ms_) {
    newest_due_at_ms_ = load.newest_due_at_ms;
    arrived_at_ = now;
  }
  while (!peaks_.empty() && now - peaks_.front().began_at > kWindow) {
    peaks_.pop_front();
  }
  if (peaks_.empty() || now - peaks_.back().began_at >= kInterval) {
    peaks_.push_back({now, load.accelerators});
  } else {
    peaks_.back().accelerators = std::max(peaks_.back().accelerators, load.accelerators);
  }
}

std::int64_t UrgentDemand::Forecast(SteadyTime now) const {
  if (!arrived_at_ || now - *arrived_at_ > kArrivalWindow) {
    return 0;
  }
  std::int64_t greatest = 0;
  for (const Peak& it : peaks_) {
    if (now - it.began_at <= kWindow) {
      greatest = std::max(greatest, it.accelerators);
    }
  }
  return greatest;
}

}  // namespace clementineloom::workload
