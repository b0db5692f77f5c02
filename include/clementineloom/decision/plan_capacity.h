#pragma once

#include <cstdint>

#include "clementineloom/model/gang_shape.h"
#include "clementineloom/state/cluster_state.h"

namespace clementineloom {

/// @brief For a shape, the maximum number of suitable workers in any one domain of its adjacency:
/// among all configured workers, those in service, and those with enough free accelerators. An
/// immutable value.
struct PlanCapacity {
  const std::uint32_t configured = 0;
  const std::uint32_t in_service = 0;
  const std::uint32_t free = 0;

  /// @brief Counts the workers of a state. Complexity: linear in the workers.
  [[nodiscard]] static PlanCapacity Of(const ClusterState& state, const GangShape& shape);

  friend auto operator<=>(const PlanCapacity&, const PlanCapacity&) = default;
};

}  // namespace clementineloom
