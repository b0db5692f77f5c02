#pragma once

#include <cstdint>
#include <vector>

#include "clementineloom/model/job_id.h"
#include "clementineloom/model/log_offset.h"
#include "clementineloom/model/worker_id.h"

namespace clementineloom {

/// @brief Workers kept for a waiting job. An immutable value.
struct Reservation {
  JobId job;
  std::vector<WorkerId> workers;
  std::uint16_t accelerators = 0;
  /// Jobs placed on the workers after this offset are backfill, and stop when the job could start
  /// but for them.
  LogOffset made_at;
  /// Jobs that the same pass placed: their placements get later offsets, but they were there first.
  std::vector<JobId> placed_before;

  friend auto operator<=>(const Reservation&, const Reservation&) = default;
};

}  // namespace clementineloom
