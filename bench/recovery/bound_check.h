#pragma once

#include <vector>

#include "recovery/bound_result.h"
#include "recovery/trouble_runs.h"

namespace clementineloom::bench {

/// @brief Compares the runs with the bounds of their troubles. In every trouble no task may run on
/// two workers. Thread safety: a pure function.
[[nodiscard]] std::vector<BoundResult> CheckBounds(const std::vector<TroubleRuns>& results);

}  // namespace clementineloom::bench
