#pragma once

#include <concepts>
#include <vector>

#include "clementineloom/model/instant.h"
#include "clementineloom/state/cluster_state.h"
#include "clementineloom/state/record_body.h"

namespace clementineloom::bench {

/// @brief A policy under comparison: any type with the Decide function of DecisionEngine.
template <class T>
concept Policy = requires(T policy, const ClusterState& state, Instant now) {
  { policy.Decide(state, now) } -> std::same_as<std::vector<RecordBody>>;
};

}  // namespace clementineloom::bench
