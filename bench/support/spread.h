#pragma once

#include <vector>

namespace clementineloom::bench {

/// @brief Mean, least and greatest of one figure over the seeds.
struct Spread {
  double mean = 0;
  double least = 0;
  double greatest = 0;

  [[nodiscard]] static Spread Of(const std::vector<double>& values);

  friend auto operator<=>(const Spread&, const Spread&) = default;
};

}  // namespace clementineloom::bench
