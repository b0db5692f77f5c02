#pragma once

#include <vector>

#include "support/cell_demand.h"
#include "support/free_map.h"

namespace clementineloom::bench {

/// @brief What is left of all guaranteed shapes, and the room that work which may not be stopped
/// leaves them.
struct Reclaim {
  FreeMap free;
  std::vector<CellDemand> demands;

  friend auto operator<=>(const Reclaim&, const Reclaim&) = default;
};

}  // namespace clementineloom::bench
