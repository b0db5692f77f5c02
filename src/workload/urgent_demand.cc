#include "clementineloom/workload/urgent_demand.h"

#include <algorithm>

namespace clementineloom::workload {

void UrgentDemand::Note(SteadyTime now, std::int64_t accelerators) {
  while (!peaks_.empty() && now - peaks_.front().began_at > kWindow) {
    peaks_.pop_front();
  }
  if (peaks_.empty() || now - peaks_.back().began_at >= kInterval) {
    peaks_.push_back({now, accelerators});
  } else {
    peaks_.back().accelerators = std::max(peaks_.back().accelerators, accelerators);
  }
}

std::int64_t UrgentDemand::Forecast(SteadyTime now) const {
  std::int64_t greatest = 0;
  for (const Peak& it : peaks_) {
    if (now - it.began_at <= kWindow) {
      greatest = std::max(greatest, it.accelerators);
    }
  }
  return greatest;
}

}  // namespace clementineloom::workload
