#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/model/instant.h"
#include "clementineloom/model/job_spec.h"

namespace clementineloom {

/// @brief Quantiles of observed run times for each team and job class, with decay.
///
/// A declared run time may be wrong by 10 times either way: it counts only until there are
/// observations, and then as ten times its value. Thread safety: none.
class RunTimeEstimates {
 public:
  /// Margin for declared run times, from the stated error.
  static constexpr int kDeclaredMargin = 10;
  /// Observations from which on the declared time is ignored.
  static constexpr std::size_t kEnoughObservations = 3;
  /// Share of a weight that is left after each newer observation; half is left after about 13.
  static constexpr double kDecay = 0.95;

  void Observe(const JobSpec& spec, Duration run_time);
  /// @brief A run time that the given share of jobs does not exceed; Duration::max() if nothing is
  /// known. Precondition: 0 < quantile <= 1.
  [[nodiscard]] Duration Quantile(const JobSpec& spec, double quantile) const;
  void Clear() { observed_.clear(); }

 private:
  // With kDecay the oldest of 64 observations has 4% of the newest one's weight.
  static constexpr std::size_t kObservationsKept = 64;
  // Class names come from callers; a bound keeps them from filling the memory.
  static constexpr std::size_t kClassesKept = 4'096;
  using Key = std::pair<std::string, std::string>;

  /// Newest last.
  std::map<Key, std::vector<Duration>> observed_;
};

}  // namespace clementineloom
