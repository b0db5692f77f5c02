#pragma once

#include "clementineloom/decision/plan_job_explanation.h"
#include "clementineloom/model/job_id.h"
#include "clementineloom/state/cluster_state.h"

namespace clementineloom {

/// @brief Explains why a job waits, from the state alone.
///
/// Complexity: linear in the workers. Thread safety: that of the state.
[[nodiscard]] JobExplanation Explain(const ClusterState& state, JobId job);

}  // namespace clementineloom
