#include "clementineloom/workload/speed_model.h"

#include <algorithm>
#include <cmath>

namespace clementineloom::workload {
namespace {

// Variances of the logarithm of a rate beside the speed of the worker. The members of a gang have
// equal work; tasks of other steps differ, and the samples of one run share that difference.
constexpr double kGangVariance = 0.02;
constexpr double kTaskVariance = 0.4;
// A larger deviation is taken for this one: one task in many takes several times as long as its
// siblings, and says little of its worker.
constexpr double kMaxDeviation = 0.5;
// Weight from which on the siblings of a task say how large it is: that of two samples.
constexpr double kMinStepWeight = 2 / (SpeedEstimate::kPriorVariance + kTaskVariance);
// Smaller differences are no reason to prefer a worker.
constexpr double kMinLogDifference = 0.15;
constexpr std::size_t kMaxSteps = 2'000;

double LogRateOf(const ProgressSample& sample) {
  return std::log(static_cast<double>(sample.gained_percent) /
                  static_cast<double>(sample.span.count()));
}

}  // namespace

std::optional<double> SpeedModel::Add(const ProgressSample& sample, SteadyTime now) {
  const double variance = sample.is_gang ? kGangVariance : kTaskVariance;
  const double log_rate = LogRateOf(sample);
  StepRate& step = RateOf(sample.step);
  SpeedEstimate estimate = EstimateOf(sample.worker).At(now);
  std::optional<double> changed;
  if (step.weight >= kMinStepWeight) {
    const double deviation = log_rate - step.weighted_sum / step.weight - estimate.log_speed;
    const double measured =
        estimate.log_speed + std::clamp(deviation, -kMaxDeviation, kMaxDeviation);
    estimate = estimate.With(measured, variance + 1 / step.weight);
    workers_.insert_or_assign(sample.worker, estimate);
    changed = Publish(sample.worker, estimate);
  }
  const double weight = 1 / (variance + estimate.variance);
  step.weight += weight;
  step.weighted_sum += weight * (log_rate - estimate.log_speed);
  return changed;
}

void SpeedModel::Forget(std::string_view worker) {
  if (const auto it = workers_.find(worker); it != workers_.end()) {
    workers_.erase(it);
  }
  if (const auto it = speeds_.find(worker); it != speeds_.end()) {
    speeds_.erase(it);
  }
}

SpeedEstimate SpeedModel::EstimateOf(std::string_view worker) const {
  const auto it = workers_.find(worker);
  return it == workers_.end() ? SpeedEstimate{} : it->second;
}

SpeedModel::StepRate& SpeedModel::RateOf(const StepId& step) {
  const auto [it, is_new] = steps_.try_emplace(step);
  if (is_new) {
    it->second.position = used_steps_.insert(used_steps_.end(), step);
    if (steps_.size() > kMaxSteps) {
      steps_.erase(used_steps_.front());
      used_steps_.pop_front();
    }
  } else {
    used_steps_.splice(used_steps_.end(), used_steps_, it->second.position);
  }
  return it->second;
}

std::optional<double> SpeedModel::Publish(const std::string& worker,
                                          const SpeedEstimate& estimate) {
  const auto before = speeds_.find(worker);
  const bool was_known = before != speeds_.end();
  if (std::abs(estimate.log_speed) < kMinLogDifference) {
    if (was_known) {
      speeds_.erase(before);
      return 1.0;
    }
    return std::nullopt;
  }
  const double speed = std::exp(estimate.log_speed);
  const bool is_other_side = !was_known || (before->second < 1) != (speed < 1);
  speeds_.insert_or_assign(worker, speed);
  return is_other_side ? std::optional(speed) : std::nullopt;
}

}  // namespace clementineloom::workload
