#pragma once

#include <concepts>
#include <vector>

#include "clementineloom/model/instant.h"
#include "clementineloom/state/cluster_state.h"
#include "clementineloom/state/record_body.h"

namespace clementineloom {

/// @brief What a plan asks for its decisions: DecisionEngine over any Placer.
///
/// A plan decides with a copy, so that the engine in use learns nothing from a rehearsal.
template <class T>
concept PlanEngine = std::copy_constructible<T> &&
    requires(T engine, const ClusterState& state, Instant now) {
  { engine.Decide(state, now) } -> std::same_as<std::vector<RecordBody>>;
};

}  // namespace clementineloom
