#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "clementineloom/model/data_centre.h"
#include "clementineloom/model/team.h"
#include "clementineloom/model/worker.h"

namespace clementineloom::bench {

/// @brief Capacity and guarantees of the cluster of one of the two users.
struct Deployment {
  std::string name;
  std::vector<DataCentre> data_centres;
  std::vector<Worker> workers;
  std::vector<Team> teams;
  /// Workers in a rack; the largest gangs fill a rack.
  std::uint16_t workers_per_rack = 0;

  friend auto operator<=>(const Deployment&, const Deployment&) = default;
};

/// @brief 4 data centres with 2 racks of 6 workers each.
[[nodiscard]] Deployment CooperativeDeployment();

/// @brief 3 data centres with 2 racks of 8 workers each.
[[nodiscard]] Deployment TreuilSahelDeployment();

}  // namespace clementineloom::bench
