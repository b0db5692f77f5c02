#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/model/instant.h"
#include "clementineloom/model/job_spec.h"

namespace clementineloom {

/// @brief Quantiles of observed run times for each team and job class, with exponentially decaying
/// weights.
///
/// A declared run time may be wrong by a factor of 10 either way, so it is multiplied by 10, and
/// used only until there are enough observations. Thread safety: none.
class RunTimeEstimates {
 public:
  /// Factor for declared run times, equal to their stated error.
  static constexpr int kDeclaredMargin = 10;
  /// Number of observations from which the declared run time is ignored.
  static constexpr std::size_t kEnoughObservations = 3;
  /// Factor by which a weight is multiplied at each newer observation; the weight halves after
  /// about 13 of them.
  static constexpr double kDecay = 0.95;

  void Observe(const JobSpec& spec, Duration run_time);
  /// @brief A run time that the given share of jobs does not exceed; Duration::max() if nothing is
  /// known. Precondition: 0 < quantile <= 1.
  [[nodiscard]] Duration Quantile(const JobSpec& spec, double quantile) const;
  void Clear() { observed_.clear(); }

 private:
  // With kDecay the oldest of 64 observations has 4% of the newest one's weight.
  static constexpr std::size_t kObservationsKept = 64;
  // Class names come from callers, so their number is bounded to limit memory use.
  static constexpr std::size_t kClassesKept = 4'096;
  using Key = std::pair<std::string, std::string>;

  /// Newest last.
  std::map<Key, std::vector<Duration>> observed_;
};

}  // namespace clementineloom
