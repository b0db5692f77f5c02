#pragma once

#include <concepts>
#include <optional>

#include "clementineloom/model/instant.h"
#include "clementineloom/model/job_id.h"
#include "clementineloom/model/placement.h"
#include "clementineloom/state/cluster_state.h"

namespace clementineloom {

/// @brief Chooses workers for a waiting job, or none if it has to wait.
///
/// A placement that it returns satisfies ClusterState::ValidatePlacement at the state's offset.
template <class T>
concept Placer = requires(T placer, const ClusterState& state, JobId job, Instant now) {
  { placer.Place(state, job, now) } -> std::same_as<std::optional<Placement>>;
};

}  // namespace clementineloom
