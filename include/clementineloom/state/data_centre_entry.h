#pragma once

#include <vector>

#include "clementineloom/model/data_centre.h"
#include "clementineloom/model/rack_id.h"

namespace clementineloom {

/// @brief A data centre's row in ClusterState. Used only by the thread that owns the state.
struct DataCentreEntry {
  DataCentre data_centre;
  std::vector<RackId> racks;
};

}  // namespace clementineloom
