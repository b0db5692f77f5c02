#include "clementineloom/workload/speed_estimate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace clementineloom::workload {
namespace {

// A worker may turn slow and recover within seconds.
constexpr double kVariancePerSecond = 0.002;

}  // namespace

SpeedEstimate SpeedEstimate::At(SteadyTime now) const {
  const double seconds = std::chrono::duration<double>(now - updated_at).count();
  SpeedEstimate later = *this;
  later.variance = std::min(prior_variance, variance + std::max(seconds, 0.0) * kVariancePerSecond);
  later.updated_at = now;
  return later;
}

SpeedEstimate SpeedEstimate::With(double deviation, double sum_variance) const {
  const double gain = variance / sum_variance;
  SpeedEstimate updated = *this;
  updated.log_speed += gain * deviation;
  updated.variance *= 1 - gain;
  return updated;
}

bool SpeedEstimate::IsSurelyBelowZero(double deviations) const {
  return log_speed < -deviations * std::sqrt(variance);
}

}  // namespace clementineloom::workload
