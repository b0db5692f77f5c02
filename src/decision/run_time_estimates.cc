#include "clementineloom/decision/run_time_estimates.h"

#include <algorithm>

namespace clementineloom {
namespace {

Duration DeclaredBound(const JobSpec& spec) {
  const Duration declared = spec.declared_run_time();
  const bool has_no_bound = declared == Duration::zero() ||
                            declared > Duration::max() / RunTimeEstimates::kDeclaredMargin;
  return has_no_bound ? Duration::max() : declared * RunTimeEstimates::kDeclaredMargin;
}

Duration WeightedQuantile(const std::vector<Duration>& newest_last, double quantile) {
  std::vector<std::pair<Duration, double>> weighted;
  double weight = 1;
  double total = 0;
  for (auto it = newest_last.rbegin(); it != newest_last.rend(); ++it) {
    weighted.emplace_back(*it, weight);
    total += weight;
    weight *= RunTimeEstimates::kDecay;
  }
  std::sort(weighted.begin(), weighted.end());
  double sum = 0;
  for (const auto& [run_time, it] : weighted) {
    sum += it;
    if (sum >= quantile * total) {
      return run_time;
    }
  }
  return weighted.back().first;
}

}  // namespace

void RunTimeEstimates::Observe(const JobSpec& spec, Duration run_time) {
  const Key key(spec.team(), spec.job_class());
  if (observed_.size() >= kClassesKept && !observed_.contains(key)) {
    // Evicts the class with the fewest observations, which loses the least information.
    observed_.erase(std::min_element(
        observed_.begin(), observed_.end(),
        [](const auto& a, const auto& b) { return a.second.size() < b.second.size(); }));
  }
  auto& observed = observed_[key];
  if (observed.size() == kObservationsKept) {
    observed.erase(observed.begin());
  }
  observed.push_back(run_time);
}

Duration RunTimeEstimates::Quantile(const JobSpec& spec, double quantile) const {
  const auto it = observed_.find(Key(spec.team(), spec.job_class()));
  if (it == observed_.end()) {
    return DeclaredBound(spec);
  }
  const Duration observed = WeightedQuantile(it->second, quantile);
  return it->second.size() >= kEnoughObservations ? observed
                                                  : std::max(observed, DeclaredBound(spec));
}

}  // namespace clementineloom
