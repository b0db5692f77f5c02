#pragma once

#include "clementineloom/state/cluster_state.h"
#include "support/guarantee_accounting.h"
#include "support/packing_result.h"

namespace clementineloom::bench {

/// @brief Whether all guarantees of all teams can be had at the same time by stopping only
/// borrowed work; written apart from the project's own check.
///
/// Guarantees that would not fit the workers in service even without any job are no fault of a
/// policy, and count as kFits.
[[nodiscard]] PackingResult CheckReclaim(const ClusterState& state, GuaranteeAccounting accounting);

}  // namespace clementineloom::bench
