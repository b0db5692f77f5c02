#include "clementineloom/workload/speed_estimate.h"

#include <algorithm>
#include <chrono>

namespace clementineloom::workload {
namespace {

// After half a minute without measurements, a well-known speed counts half as much as before.
constexpr double kVariancePerSecond = 0.002;

}  // namespace

SpeedEstimate SpeedEstimate::At(SteadyTime now) const {
  const double seconds = std::chrono::duration<double>(now - updated_at).count();
  SpeedEstimate later = *this;
  later.variance = std::min(kPriorVariance, variance + std::max(seconds, 0.0) * kVariancePerSecond);
  later.updated_at = now;
  return later;
}

SpeedEstimate SpeedEstimate::With(double measured_log_speed, double measured_variance) const {
  const double gain = variance / (variance + measured_variance);
  SpeedEstimate updated = *this;
  updated.log_speed += gain * (measured_log_speed - log_speed);
  updated.variance *= 1 - gain;
  return updated;
}

}  // namespace clementineloom::workload
