#pragma once

#include <concepts>
#include <vector>

#include "clementineloom/model/instant.h"
#include "clementineloom/state/cluster_state.h"
#include "clementineloom/state/record_body.h"

namespace clementineloom::bench {

/// @brief What the benchmark compares: anything that decides as DecisionEngine does.
template <class T>
concept Policy = requires(T policy, const ClusterState& state, Instant now) {
  { policy.Decide(state, now) } -> std::same_as<std::vector<RecordBody>>;
};

}  // namespace clementineloom::bench
