#pragma once

#include <compare>

#include "clementineloom/workload/steady_time.h"

namespace clementineloom::workload {

/// @brief The speed of a worker relative to the others of its fleet: a normal distribution of its
/// logarithm. An immutable value.
struct SpeedEstimate {
  /// Variance before anything is known: workers of a fleet differ by half to double.
  static constexpr double kPriorVariance = 0.16;

  double log_speed = 0;
  double variance = kPriorVariance;
  /// When the estimate was last updated.
  SteadyTime updated_at;

  friend auto operator<=>(const SpeedEstimate&, const SpeedEstimate&) = default;

  /// @brief The estimate at a later time: less certain, since a worker may turn slow and recover.
  [[nodiscard]] SpeedEstimate At(SteadyTime now) const;

  /// @brief The estimate after a measurement.
  /// @param log_speed measured, with a variance above 0
  [[nodiscard]] SpeedEstimate With(double measured_log_speed, double measured_variance) const;
};

}  // namespace clementineloom::workload
