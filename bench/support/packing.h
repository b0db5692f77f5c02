#pragma once

#include <vector>

#include "support/cell_demand.h"
#include "support/free_map.h"
#include "support/packing_result.h"

namespace clementineloom::bench {

/// @brief Searches for room for all demands at the same time, by backtracking over domains.
///
/// Within a domain a demand takes the workers with the least free accelerators that fit, which is
/// exact for sizes that divide each other, as those of the deployments do.
[[nodiscard]] PackingResult Pack(const FreeMap& free, std::vector<CellDemand> demands);

}  // namespace clementineloom::bench
