#pragma once

#include <cstdint>
#include <vector>

#include "clementineloom/model/job_id.h"
#include "clementineloom/model/placement.h"

namespace clementineloom {

/// @brief Borrowed jobs that have to stop so that a guaranteed job can be placed.
struct ReclaimPlan {
  /// Where the job will go; held until the victims have stopped.
  Placement placement;
  /// Without jobs that are stopping already; empty if the job only has to wait for those.
  std::vector<JobId> victims;
  /// Sum over the victims of accelerators, weighted by priority.
  std::uint64_t cost = 0;

  friend auto operator<=>(const ReclaimPlan&, const ReclaimPlan&) = default;
};

}  // namespace clementineloom
