#pragma once

#include <string>
#include <vector>

#include "clementineloom/errors/result.h"
#include "clementineloom/state/cluster_state.h"
#include "scheduler/operator/config_view.h"
#include "scheduler/operator/explanation.h"
#include "scheduler/operator/job_view.h"
#include "scheduler/operator/worker_view.h"

namespace clementineloom::scheduler {

// Pure functions that build the operators' views of the state.

[[nodiscard]] ConfigView ConfigViewOf(const ClusterState& state);
[[nodiscard]] std::vector<WorkerView> WorkerViewsOf(const ClusterState& state);
/// @brief All jobs in the order of their ids.
[[nodiscard]] std::vector<JobView> JobViewsOf(const ClusterState& state);
/// Errors: kUnknownJob.
[[nodiscard]] Result<JobView> JobViewOf(const ClusterState& state, JobId job);
/// Errors: kUnknownJob.
[[nodiscard]] Result<Explanation> Explain(const ClusterState& state, JobId job);

}  // namespace clementineloom::scheduler
