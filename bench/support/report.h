#pragma once

#include <ostream>
#include <vector>

#include "support/policy_runs.h"

namespace clementineloom::bench {

/// @brief Writes the figures of each policy, one line each: mean [least, greatest] over seeds.
void WriteFigures(std::ostream& out, const std::vector<PolicyRuns>& policies);

/// @brief Writes each policy's ratios to the first one, beside the targets of the design.
///
/// A ratio is taken for each seed, so that both sides had the same workload.
void WriteRatios(std::ostream& out, const std::vector<PolicyRuns>& policies);

}  // namespace clementineloom::bench
