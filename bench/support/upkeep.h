#pragma once

#include <vector>

#include "clementineloom/state/cluster_state.h"
#include "clementineloom/state/record_body.h"

namespace clementineloom::bench {

/// @brief Records of the baseline that are not placements.
///
/// Stops jobs on workers that left with their data centre or are lost, refuses jobs that no rack
/// or worker can hold, and quarantines a worker after kFailuresToQuarantine failures in a row, so
/// that the baseline is not at a disadvantage only because of jobs that block it for ever.
[[nodiscard]] std::vector<RecordBody> UpkeepRecords(const ClusterState& state);

}  // namespace clementineloom::bench
