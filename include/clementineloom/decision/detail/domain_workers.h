#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "clementineloom/model/adjacency.h"
#include "clementineloom/state/cluster_state.h"

namespace clementineloom::detail {

/// @brief Calls a function with each worker of a domain: a worker, rack or data centre.
template <class Function>
void ForEachWorker(const ClusterState& state, Adjacency adjacency, std::uint32_t domain,
                   Function&& function) {
  if (adjacency == Adjacency::kWorker) {
    function(WorkerId(domain));
    return;
  }
  if (adjacency == Adjacency::kRack) {
    std::ranges::for_each(state.rack(RackId(domain)).workers, function);
    return;
  }
  const DataCentreId data_centre(static_cast<std::uint16_t>(domain));
  for (const RackId rack : state.data_centre(data_centre).racks) {
    std::ranges::for_each(state.rack(rack).workers, function);
  }
}

/// @brief Number of domains of an adjacency.
[[nodiscard]] inline std::size_t DomainCount(const ClusterState& state, Adjacency adjacency) {
  if (adjacency == Adjacency::kWorker) {
    return state.workers().size();
  }
  return adjacency == Adjacency::kRack ? state.racks().size() : state.data_centres().size();
}

}  // namespace clementineloom::detail
