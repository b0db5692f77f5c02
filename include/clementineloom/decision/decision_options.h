#pragma once

#include <cstddef>
#include <cstdint>

#include "clementineloom/model/instant.h"

namespace clementineloom {

/// @brief Limits of the decision engine. The defaults suit clusters of about 50 workers as well as
/// of 32,000.
struct DecisionOptions {
  /// Bounds the size of one JobsPlaced record, and thus the duration of one call.
  std::size_t max_allocations_per_call = 2'048;
  /// Number of waiting jobs, oldest first, that get a reservation.
  std::size_t max_reservations = 2;
  /// Blocked jobs tried on reserved workers in one call.
  std::size_t max_backfill_tries = 32;
  /// Number of different jobs that have to fail on a worker before it is quarantined.
  std::size_t quarantine_after = 3;
  /// First time in quarantine; it doubles with each failed probe.
  Duration quarantine_time = std::chrono::minutes(10);
  Duration max_quarantine_time = std::chrono::hours(4);
  /// At most one worker in this many is quarantined, so that a fault common to all workers, such as
  /// a broken image, does not take the whole cluster out of use.
  std::size_t workers_per_quarantine = 4;
  /// Number of different workers on which a job has to fail before it ends as failed.
  std::size_t max_failed_workers = 3;
  /// Number of failed attempts, with or without a suspect worker, before a job ends as failed.
  std::uint32_t max_failures = 5;

  friend auto operator<=>(const DecisionOptions&, const DecisionOptions&) = default;
};

}  // namespace clementineloom
