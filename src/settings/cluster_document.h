#pragma once

#include <compare>
#include <string>
#include <vector>

#include "clementineloom/model/data_centre.h"
#include "clementineloom/model/team.h"
#include "settings/objective_weights.h"
#include "settings/worker_shape.h"

namespace clementineloom::settings {

/// @brief The configuration that an operator publishes. docs/configuration.md lists its keys.
struct ClusterDocument {
  std::string region;
  std::vector<DataCentre> data_centres;
  std::vector<WorkerShape> worker_shapes;
  std::vector<Team> teams;
  ObjectiveWeights objective;

  friend auto operator<=>(const ClusterDocument&, const ClusterDocument&) = default;
};

}  // namespace clementineloom::settings
