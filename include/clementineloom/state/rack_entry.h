#pragma once

#include <string>
#include <vector>

#include "clementineloom/model/data_centre_id.h"
#include "clementineloom/model/worker_id.h"

namespace clementineloom {

/// @brief A rack's row in ClusterState. Used only by the thread that owns the state.
struct RackEntry {
  std::string name;
  DataCentreId data_centre;
  std::vector<WorkerId> workers;
};

}  // namespace clementineloom
