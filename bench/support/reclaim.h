#pragma once

#include <vector>

#include "support/cell_demand.h"
#include "support/free_map.h"

namespace clementineloom::bench {

/// @brief The unused parts of all guaranteed shapes, and the capacity that is free apart from work
/// which may not be stopped.
struct Reclaim {
  FreeMap free;
  std::vector<CellDemand> demands;

  friend auto operator<=>(const Reclaim&, const Reclaim&) = default;
};

}  // namespace clementineloom::bench
