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
  /// Jobs placed on the workers after this offset are backfill, and are stopped if they alone keep
  /// the reserved job from starting.
  LogOffset made_at;
  /// Jobs placed earlier in the same pass. They are not backfill although their placements get
  /// later offsets.
  std::vector<JobId> placed_before;

  friend auto operator<=>(const Reservation&, const Reservation&) = default;
};

}  // namespace clementineloom
