#include "support/spread.h"

#include <algorithm>
#include <numeric>

namespace clementineloom::bench {

Spread Spread::Of(const std::vector<double>& values) {
  if (values.empty()) {
    return {};
  }
  const auto [least, greatest] = std::ranges::minmax_element(values);
  const double sum = std::accumulate(values.begin(), values.end(), 0.0);
  return {.mean = sum / static_cast<double>(values.size()), .least = *least, .greatest = *greatest};
}

}  // namespace clementineloom::bench
