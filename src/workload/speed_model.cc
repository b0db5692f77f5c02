#include "clementineloom/workload/speed_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace clementineloom::workload {
namespace {

// Variances of the logarithm of a rate beside the other terms. The members of a gang have equal
// work; tasks of other steps differ, and the samples of one run share that difference.
constexpr double kGangVariance = 0.02;
constexpr double kTaskVariance = 0.4;
// A larger deviation is taken for this one: one task in many takes several times as long as its
// siblings, and says little of its worker. That cannot be where all have equal work.
constexpr double kMaxGangDeviation = 1;
constexpr double kMaxTaskDeviation = 0.5;
// Weight from which on the siblings of a task say how large it is: about that of one sample of a
// gang, and of two of other steps.
constexpr double kMinStepWeight = 3.5;
// Smaller differences are no reason to prefer a worker.
constexpr double kMinLogDifference = 0.15;
// A neighbour counts as disturbing if it is estimated to take a fifth of a task's speed and surely
// takes something, until it takes less than a tenth.
constexpr double kMinLogInterference = 0.22;
constexpr double kEndLogInterference = 0.1;
constexpr double kSureDeviations = 3;
// Part of a step's samples that have to be without a neighbour for a comparison.
constexpr double kMinPartWithout = 0.25;
constexpr std::size_t kMaxSteps = 2'000;
// Bounds what callers can make an owner keep by naming ever new images.
constexpr std::size_t kMaxPairs = 1'000;

double LogRateOf(const ProgressSample& sample) {
  return std::log(static_cast<double>(sample.gained_percent) /
                  static_cast<double>(sample.span.count()));
}

}  // namespace

double SpeedModel::Terms::LogSpeed() const {
  double sum = worker.log_speed;
  for (const SpeedEstimate& it : neighbours) {
    sum += it.log_speed;
  }
  return sum;
}

double SpeedModel::Terms::Variance() const {
  double sum = worker.variance;
  for (const SpeedEstimate& it : neighbours) {
    sum += it.variance;
  }
  return sum;
}

bool SpeedModel::StepRate::HasSamplesWithout(const std::string& neighbour) const {
  const auto it = neighbour_weights.find(neighbour);
  const double with = it == neighbour_weights.end() ? 0 : it->second;
  return weight - with >= kMinPartWithout * weight;
}

SpeedModel::Terms SpeedModel::TermsOf(const ProgressSample& sample, const StepRate& step,
                                      SteadyTime now) const {
  Terms terms{EstimateOf(sample.worker).At(now), {}, {}};
  for (const std::string& it : sample.neighbours) {
    KindPair pair{sample.kind, it};
    const bool is_kept = pairs_.size() < kMaxPairs || pairs_.contains(pair);
    if (is_kept && step.HasSamplesWithout(it)) {
      terms.neighbours.push_back(EstimateOf(pair).At(now));
      terms.pairs.push_back(std::move(pair));
    }
  }
  return terms;
}

SpeedChange SpeedModel::Add(const ProgressSample& sample, SteadyTime now) {
  const double task_variance = sample.is_gang ? kGangVariance : kTaskVariance;
  const double max_deviation = sample.is_gang ? kMaxGangDeviation : kMaxTaskDeviation;
  const double log_rate = LogRateOf(sample);
  StepRate& step = RateOf(sample.step);
  const Terms terms = TermsOf(sample, step, now);
  SpeedChange change;
  if (step.weight >= kMinStepWeight) {
    const double deviation = log_rate - step.weighted_sum / step.weight - terms.LogSpeed();
    change = Update(sample, terms, std::clamp(deviation, -max_deviation, max_deviation),
                    task_variance + 1 / step.weight + terms.Variance());
  }
  const double weight = 1 / (task_variance + terms.Variance());
  step.weight += weight;
  step.weighted_sum += weight * (log_rate - terms.LogSpeed());
  for (const std::string& it : sample.neighbours) {
    step.neighbour_weights[it] += weight;
  }
  return change;
}

SpeedChange SpeedModel::Update(const ProgressSample& sample, const Terms& terms, double deviation,
                               double variance) {
  SpeedChange change;
  const SpeedEstimate worker = terms.worker.With(deviation, variance);
  workers_.insert_or_assign(sample.worker, worker);
  change.worker_speed = PublishWorker(sample.worker, worker);
  for (std::size_t n = 0; n < terms.pairs.size(); ++n) {
    const SpeedEstimate neighbour = terms.neighbours[n].With(deviation, variance);
    pairs_.insert_or_assign(terms.pairs[n], neighbour);
    if (PublishPair(terms.pairs[n], neighbour)) {
      change.pair = terms.pairs[n];
    }
  }
  return change;
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
  return it == workers_.end() ? SpeedEstimate::OfWorker() : it->second;
}

SpeedEstimate SpeedModel::EstimateOf(const KindPair& pair) const {
  const auto it = pairs_.find(pair);
  return it == pairs_.end() ? SpeedEstimate::OfNeighbour() : it->second;
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

std::optional<double> SpeedModel::PublishWorker(const std::string& worker,
                                                const SpeedEstimate& estimate) {
  const auto before = speeds_.find(worker);
  const bool was_known = before != speeds_.end();
  if (std::abs(estimate.log_speed) < kMinLogDifference) {
    if (!was_known) {
      return std::nullopt;
    }
    speeds_.erase(before);
    return 1.0;
  }
  const double speed = std::exp(estimate.log_speed);
  const bool is_other_side = !was_known || (before->second < 1) != (speed < 1);
  speeds_.insert_or_assign(worker, speed);
  return is_other_side ? std::optional(speed) : std::nullopt;
}

bool SpeedModel::PublishPair(const KindPair& pair, const SpeedEstimate& estimate) {
  const bool was_known = interference_.contains(pair);
  const bool is_known = was_known ? estimate.log_speed < -kEndLogInterference
                                  : estimate.log_speed < -kMinLogInterference &&
                                        estimate.IsSurelyBelowZero(kSureDeviations);
  if (is_known) {
    interference_.insert_or_assign(pair, std::exp(estimate.log_speed));
  } else {
    interference_.erase(pair);
  }
  return is_known != was_known;
}

}  // namespace clementineloom::workload
