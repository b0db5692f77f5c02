#pragma once

#include <vector>

#include "support/cell_demand.h"
#include "support/free_map.h"
#include "support/packing_result.h"

namespace clementineloom::bench {

/// @brief Searches for a placement of all demands at the same time, by backtracking over domains.
///
/// Within a domain a demand takes the workers with the least free accelerators that fit, which is
/// exact if each size divides the next larger one, as in the deployments.
[[nodiscard]] PackingResult Pack(const FreeMap& free, std::vector<CellDemand> demands);

}  // namespace clementineloom::bench
