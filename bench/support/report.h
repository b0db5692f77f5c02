#pragma once

#include <ostream>
#include <vector>

#include "support/policy_runs.h"

namespace clementineloom::bench {

/// @brief Writes the figures of each policy, one line each: mean [least, greatest] over seeds.
void WriteFigures(std::ostream& out, const std::vector<PolicyRuns>& policies);

/// @brief Writes each policy's ratios to the first policy, next to the design targets.
///
/// Ratios are computed per seed, so that both policies had the same workload.
void WriteRatios(std::ostream& out, const std::vector<PolicyRuns>& policies);

}  // namespace clementineloom::bench
