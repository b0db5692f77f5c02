#pragma once

#include "clementineloom/routing/listed_workers.h"
#include "clementineloom/routing/routing_view.h"
#include "clementineloom/state/cluster_state.h"

namespace clementineloom {

/// @brief The workers that are live in a data centre in service, and the limits of the teams.
/// Complexity: linear in workers and teams.
[[nodiscard]] RoutingView RoutingViewOf(const ClusterState& state);

/// @brief The part of a view whose workers are listed as live, with slots limited to this
/// gateway's share of each worker's connections.
[[nodiscard]] RoutingView LimitToListed(const RoutingView& view, const ListedWorkers& listed);

}  // namespace clementineloom
