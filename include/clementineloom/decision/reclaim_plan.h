#pragma once

#include <cstdint>
#include <vector>

#include "clementineloom/model/job_id.h"
#include "clementineloom/model/placement.h"

namespace clementineloom {

/// @brief Borrowed jobs to preempt so that a guaranteed job can be placed.
struct ReclaimPlan {
  /// Future placement of the guaranteed job; its accelerators are withheld from other jobs until
  /// the victims have stopped.
  Placement placement;
  /// Does not include jobs that are already stopping; empty if the job only has to wait for those.
  std::vector<JobId> victims;
  /// Sum over the victims of accelerators, weighted by priority.
  std::uint64_t cost = 0;

  friend auto operator<=>(const ReclaimPlan&, const ReclaimPlan&) = default;
};

}  // namespace clementineloom
