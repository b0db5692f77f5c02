#pragma once

#include <variant>

#include "clementineloom/model/config_revision.h"
#include "clementineloom/model/job_id.h"
#include "clementineloom/model/worker_id.h"

namespace clementineloom {

/// @brief What changed in a ClusterState: a job's row, a worker's row, or the configuration.
using StateChange = std::variant<JobId, WorkerId, ConfigRevision>;

}  // namespace clementineloom
