#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "clementineloom/workload/queue.h"
#include "clementineloom/workload/step_spec.h"

namespace clementineloom::workload {

/// @brief A job as its caller submitted it. An immutable value.
struct JobSubmission {
  /// Chosen by the caller; the idempotency key of the submission.
  std::string id;
  /// The queue as it was when the job was accepted, so that a later change of the queue does not
  /// affect the job.
  Queue queue;
  /// Team of the key that was presented; empty on a public queue.
  std::string team;
  /// Unix time at which the first instance accepted it.
  std::int64_t accepted_at_ms = 0;
  /// Opaque text that every task of the job gets.
  std::string payload;
  std::vector<StepSpec> steps;
  /// Number of scheduled occurrences; 0 for a job that runs once, at once.
  std::uint32_t occurrences = 0;
  /// Unix time of occurrence 0.
  std::int64_t first_run_at_ms = 0;
  std::int64_t interval_ms = 0;

  friend auto operator<=>(const JobSubmission&, const JobSubmission&) = default;

  /// @brief Number of times that the steps run.
  [[nodiscard]] std::uint32_t RunCount() const { return occurrences == 0 ? 1 : occurrences; }

  /// @brief Unix time before which an occurrence must not start.
  [[nodiscard]] std::int64_t DueAtMs(std::uint32_t occurrence) const {
    return occurrences == 0 ? accepted_at_ms : first_run_at_ms + occurrence * interval_ms;
  }
};

}  // namespace clementineloom::workload
