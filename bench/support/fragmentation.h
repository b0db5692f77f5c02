#pragma once

#include <cstdint>
#include <optional>

#include "clementineloom/model/gang_shape.h"
#include "clementineloom/state/cluster_state.h"
#include "support/free_map.h"

namespace clementineloom::bench {

/// @brief The waiting shape with the most accelerators, or nothing when no job waits.
[[nodiscard]] std::optional<GangShape> LargestWaitingShape(const ClusterState& state);

/// @brief Free accelerators that gangs of the shape could take, counting whole gangs only.
[[nodiscard]] std::uint32_t UsableAccelerators(FreeMap free, const GangShape& shape);

/// @brief Free accelerators on workers that have too few of them for the shape's share per worker.
[[nodiscard]] std::uint32_t FragmentedAccelerators(const FreeMap& free, const GangShape& shape);

/// @brief Accelerators of the largest gang of whole free workers that fits in one rack.
[[nodiscard]] std::uint32_t LargestPlaceableGang(const FreeMap& free,
                                                 std::uint16_t accelerators_per_worker);

}  // namespace clementineloom::bench
