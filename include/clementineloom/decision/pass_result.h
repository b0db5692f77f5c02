#pragma once

#include <cstddef>
#include <vector>

#include "clementineloom/model/placement.h"
#include "clementineloom/state/records/job_refused.h"
#include "clementineloom/state/records/stop_requested.h"

namespace clementineloom {

/// @brief Decisions that a scheduling pass has made so far.
struct PassResult {
  std::vector<JobRefused> refusals;
  std::vector<Placement> placements;
  std::vector<StopRequested> stops;
  std::size_t allocations = 0;

  friend auto operator<=>(const PassResult&, const PassResult&) = default;
};

}  // namespace clementineloom
