#pragma once

#include <memory>
#include <vector>

#include "clementineloom/state/cluster_state.h"
#include "scheduler/attempt.h"

namespace clementineloom::scheduler {

/// @brief The attempt that a job has in force, or nullptr if it holds no accelerators.
[[nodiscard]] std::shared_ptr<const Attempt> MakeAttempt(const ClusterState& state, JobId job);

/// @brief The jobs whose attempts may look different after an accepted record.
[[nodiscard]] std::vector<JobId> TouchedJobs(const ClusterState& state, const Record& record);

}  // namespace clementineloom::scheduler
