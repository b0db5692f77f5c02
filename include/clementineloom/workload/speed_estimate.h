#pragma once

#include <compare>

#include "clementineloom/workload/steady_time.h"

namespace clementineloom::workload {

/// @brief A factor of the speed of tasks, such as that of their worker relative to the others of
/// its fleet: a normal distribution of its logarithm. An immutable value.
struct SpeedEstimate {
  /// Variance before anything is known.
  double prior_variance = 0;
  double log_speed = 0;
  double variance = 0;
  /// When the estimate was last updated.
  SteadyTime updated_at = {};

  /// @brief The estimate of a worker of which nothing is known: workers of a fleet differ by half
  /// to double.
  [[nodiscard]] static SpeedEstimate OfWorker() { return {0.16, 0, 0.16}; }

  /// @brief The estimate of what a kind of neighbour leaves of the speed of a task. Most leave all,
  /// so that a slow worker is not taken for a bad neighbour.
  [[nodiscard]] static SpeedEstimate OfNeighbour() { return {0.04, 0, 0.04}; }

  friend auto operator<=>(const SpeedEstimate&, const SpeedEstimate&) = default;

  /// @brief The estimate at a later time: less certain, since a worker may turn slow and recover.
  [[nodiscard]] SpeedEstimate At(SteadyTime now) const;

  /// @brief The estimate after a measurement of a sum of logarithms to which it belongs.
  /// @param deviation of the measured sum from the estimated one
  /// @param sum_variance of that deviation, with the variance of this estimate, above 0
  [[nodiscard]] SpeedEstimate With(double deviation, double sum_variance) const;

  /// @brief Whether the logarithm is below 0 by a given multiple of its standard deviation.
  [[nodiscard]] bool IsSurelyBelowZero(double deviations) const;
};

}  // namespace clementineloom::workload
