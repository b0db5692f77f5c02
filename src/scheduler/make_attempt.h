#pragma once

#include <memory>
#include <vector>

#include "clementineloom/state/cluster_state.h"
#include "scheduler/attempt.h"

namespace clementineloom::scheduler {

/// @brief The current attempt of a job, or nullptr if it holds no accelerators.
[[nodiscard]] std::shared_ptr<const Attempt> MakeAttempt(const ClusterState& state, JobId job);

/// @brief The jobs whose attempts an accepted record may change.
[[nodiscard]] std::vector<JobId> AffectedJobs(const ClusterState& state, const Record& record);

}  // namespace clementineloom::scheduler
