#pragma once

#include <ostream>
#include <vector>

#include "recovery/bound_result.h"
#include "recovery/trouble_runs.h"

namespace clementineloom::bench {

/// @brief Writes the times of each trouble, one line each: p50/max over the seeds; then the same
/// for the time that each step takes.
void WriteTables(std::ostream& out, const std::vector<TroubleRuns>& results);

/// @brief Writes each bound with the worst value, one line each.
void WriteBounds(std::ostream& out, const std::vector<BoundResult>& checked);

/// @brief Writes every run and every bound as one JSON object.
void WriteJson(std::ostream& out, const std::vector<TroubleRuns>& results,
               const std::vector<BoundResult>& checked);

}  // namespace clementineloom::bench
