#pragma once

#include <chrono>
#include <compare>
#include <optional>

#include "clementineloom/workload/job_submission.h"
#include "clementineloom/workload/steady_time.h"

namespace clementineloom::workload {

/// @brief The refusal of a job that its team submits beyond its rate and that would begin too late.
/// An immutable value.
struct RateRefusal {
  /// How long the job would have to wait.
  Milliseconds expected_wait{0};
  /// When its caller may come back: what the expected wait exceeds the one that the objective
  /// allows, within bounds, and up to as long again by the job's id, so that refused callers do not
  /// return together.
  std::chrono::seconds retry_after{0};

  friend auto operator<=>(const RateRefusal&, const RateRefusal&) = default;

  /// @brief The refusal of a job that is beyond its team's rate, or nothing if it may still end
  /// within its objective. Thread safety: a pure function.
  [[nodiscard]] static std::optional<RateRefusal> Of(const JobSubmission& submission,
                                                     Milliseconds expected_wait);
};

}  // namespace clementineloom::workload
