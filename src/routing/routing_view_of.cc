#include "clementineloom/routing/routing_view_of.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace clementineloom {
namespace {

bool MayServe(const ClusterState& state, const WorkerEntry& worker) {
  return worker.condition == WorkerCondition::kLive &&
         state.data_centre(worker.data_centre).data_centre.in_service();
}

std::uint16_t ShareOf(const Upstream& upstream, std::uint32_t gateways) {
  const std::uint32_t share = upstream.connections / std::max(gateways, 1U);
  const std::uint32_t slots = std::min<std::uint32_t>(upstream.slots, std::max(share, 1U));
  return static_cast<std::uint16_t>(slots);
}

}  // namespace

RoutingView RoutingViewOf(const ClusterState& state) {
  std::vector<Upstream> upstreams;
  for (std::size_t n = 0; n < state.workers().size(); ++n) {
    const WorkerEntry& it = state.workers()[n];
    if (MayServe(state, it)) {
      const WorkerId id(static_cast<std::uint32_t>(n));
      upstreams.push_back(
          Upstream{id, it.address, it.data_centre, it.slots, it.name, it.connections});
    }
  }
  std::vector<TeamLimit> teams;
  for (const TeamEntry& it : state.teams()) {
    if (!it.deleted) {
      teams.push_back({it.team.name(), it.team.max_concurrent_requests()});
    }
  }
  return RoutingView(state.applied_offset(), std::move(upstreams), std::move(teams));
}

RoutingView LimitToListed(const RoutingView& view, const ListedWorkers& listed) {
  std::vector<Upstream> upstreams;
  for (const Upstream& it : view.upstreams()) {
    if (listed.IsLive(it.name, it.address)) {
      upstreams.push_back(Upstream{it.worker, it.address, it.data_centre,
                                   ShareOf(it, listed.entry_instances()), it.name, it.connections});
    }
  }
  return RoutingView(view.as_of(), std::move(upstreams), view.teams());
}

}  // namespace clementineloom
