#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "clementineloom/workload/detail/rack_load.h"

namespace clementineloom::workload::detail {

/// @brief Accelerators to keep for urgent work, by rack; racks without any are absent.
using RackReserve = std::map<std::string, std::int64_t>;

/// @brief Chooses the racks whose room is kept for urgent work that is about to arrive.
///
/// Whole racks come first, because an urgent gang wants one rack. Those with the least other work
/// are chosen: they are free soonest, and as no other work starts there they are chosen again by
/// the next plan. Thread safety: a pure function. Complexity: O(racks * log(racks)).
/// @param accelerators how many to keep; what exceeds the racks is dropped
[[nodiscard]] RackReserve ChooseRackReserve(std::vector<RackLoad> racks, std::int64_t accelerators);

}  // namespace clementineloom::workload::detail
