#pragma once

#include <set>
#include <vector>

#include "clementineloom/state/cluster_state.h"
#include "clementineloom/state/records/stop_requested.h"

namespace clementineloom {

/// @brief Stop requests for the jobs on workers that are lost, leaving or out of service; at most
/// one for each job.
[[nodiscard]] std::vector<StopRequested> VacateStops(const ClusterState& state,
                                                     const std::set<WorkerId>& workers);

}  // namespace clementineloom
