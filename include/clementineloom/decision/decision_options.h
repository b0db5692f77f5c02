#pragma once

#include <cstddef>
#include <cstdint>

#include "clementineloom/model/instant.h"

namespace clementineloom {

/// @brief Limits of the decision engine. The defaults suit both the clusters of today and 32,000
/// workers.
struct DecisionOptions {
  /// Bounds the size of one JobsPlaced record and so the time of one call.
  std::size_t max_allocations_per_call = 2'048;
  /// Waiting jobs, oldest first, for which room is kept.
  std::size_t max_reservations = 2;
  /// Blocked jobs tried on reserved workers in one call.
  std::size_t max_backfill_tries = 32;
  /// Different jobs that a worker has to fail before it is quarantined.
  std::size_t quarantine_after = 3;
  /// First time in quarantine; it doubles with each failed probe.
  Duration quarantine_time = std::chrono::minutes(10);
  Duration max_quarantine_time = std::chrono::hours(4);
  /// At most one worker in this many is quarantined, so that a fault that all workers share, such
  /// as a broken image, does not empty the cluster.
  std::size_t workers_per_quarantine = 4;
  /// Different workers on which a job fails before it ends as failed.
  std::size_t max_failed_workers = 3;
  /// Failed attempts, with or without a suspect, before a job ends as failed.
  std::uint32_t max_failures = 5;

  friend auto operator<=>(const DecisionOptions&, const DecisionOptions&) = default;
};

}  // namespace clementineloom
