#pragma once

#include <set>
#include <span>
#include <string>
#include <vector>

#include "clementineloom/workload/plan_request.h"
#include "clementineloom/workload/step_id.h"
#include "clementineloom/workload/step_wait.h"

namespace clementineloom::workload {

/// @brief The steps whose turn has come while no task of their job is at work: no run of the job is
/// known to run on a worker that answers. Thread safety: a pure function.
/// @param silent_workers workers whose last call had no answer
[[nodiscard]] std::vector<StepId> WaitingSteps(const PlanRequest& request,
                                               const std::set<std::string>& silent_workers);

/// @brief Describes what several steps wait for, in their order.
/// Complexity: O(runs of all workers) for each step. Precondition: they are among WaitingSteps().
/// Thread safety: a pure function.
[[nodiscard]] std::vector<StepWait> DescribeStepWaits(const PlanRequest& request,
                                                      std::span<const StepId> steps);

/// @brief Describes what a step waits for. Complexity: O(runs of all workers).
/// Precondition: the step is one of WaitingSteps(). Thread safety: a pure function.
[[nodiscard]] StepWait DescribeStepWait(const PlanRequest& request, const StepId& step);

}  // namespace clementineloom::workload
