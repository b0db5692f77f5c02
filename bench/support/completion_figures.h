#pragma once

#include <cstddef>
#include <vector>

#include "clementineloom/model/instant.h"

namespace clementineloom::bench {

/// @brief Mean and quantiles of completion times, in minutes.
struct CompletionFigures {
  std::size_t jobs = 0;
  double mean = 0;
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;

  /// @brief Figures of a sample; quantiles are those of the nearest rank.
  [[nodiscard]] static CompletionFigures Of(std::vector<Duration> times);

  friend auto operator<=>(const CompletionFigures&, const CompletionFigures&) = default;
};

}  // namespace clementineloom::bench
