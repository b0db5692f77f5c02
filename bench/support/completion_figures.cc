#include "support/completion_figures.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace clementineloom::bench {
namespace {

double Minutes(Duration time) {
  return std::chrono::duration<double, std::ratio<60>>(time).count();
}

double Quantile(const std::vector<Duration>& sorted, double quantile) {
  const auto rank =
      static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(sorted.size())));
  return Minutes(sorted[std::max<std::size_t>(rank, 1) - 1]);
}

}  // namespace

CompletionFigures CompletionFigures::Of(std::vector<Duration> times) {
  if (times.empty()) {
    return {};
  }
  std::ranges::sort(times);
  const Duration sum = std::accumulate(times.begin(), times.end(), Duration::zero());
  return {.jobs = times.size(),
          .mean = Minutes(sum) / static_cast<double>(times.size()),
          .p50 = Quantile(times, 0.50),
          .p95 = Quantile(times, 0.95),
          .p99 = Quantile(times, 0.99)};
}

}  // namespace clementineloom::bench
