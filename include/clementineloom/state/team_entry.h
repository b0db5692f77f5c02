#pragma once

#include <cstdint>
#include <vector>

#include "clementineloom/model/team.h"
#include "clementineloom/state/cell_use.h"

namespace clementineloom {

/// @brief A team's row in ClusterState. Used only by the thread that owns the state.
struct TeamEntry {
  Team team;
  bool deleted = false;
  /// Jobs that have not ended.
  std::uint32_t active_jobs = 0;
  /// Accelerators that the team's jobs hold, guaranteed and borrowed.
  std::uint32_t held_accelerators = 0;
  /// Use of the guarantees: one list for each guarantee, one item for each of its shapes.
  std::vector<std::vector<CellUse>> cells;
};

}  // namespace clementineloom
