#pragma once

#include "clementineloom/workload/plan_request.h"
#include "clementineloom/workload/start_plan.h"

namespace clementineloom::workload {

/// @brief Chooses workers for the tasks that may start, most urgent job first.
///
/// A gang is placed whole or not at all. Among the workers with room, the one near the data that
/// is left with the least accelerators and processors is taken, so that whole workers stay free
/// for large tasks. Complexity: O(tasks * workers).
/// Thread safety: a pure function.
[[nodiscard]] StartPlan PlanStarts(const PlanRequest& request);

}  // namespace clementineloom::workload
