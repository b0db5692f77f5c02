#include "clementineloom/decision/plan_capacity.h"

#include <algorithm>
#include <map>

namespace clementineloom {
namespace {

std::uint32_t DomainNumber(std::uint32_t id, const WorkerEntry& worker, const GangShape& shape) {
  switch (shape.adjacency()) {
    case Adjacency::kWorker:
      return id;
    case Adjacency::kRack:
      return worker.rack.value();
    case Adjacency::kDataCentre:
      break;
  }
  return worker.data_centre.value();
}

struct DomainCount {
  std::uint32_t configured = 0;
  std::uint32_t in_service = 0;
  std::uint32_t free = 0;
};

}  // namespace

PlanCapacity PlanCapacity::Of(const ClusterState& state, const GangShape& shape) {
  std::map<std::uint32_t, DomainCount> domains;
  for (std::uint32_t id = 0; id < state.workers().size(); ++id) {
    const WorkerEntry& worker = state.worker(WorkerId(id));
    if (worker.accelerators < shape.accelerators_per_worker()) {
      continue;
    }
    DomainCount& domain = domains[DomainNumber(id, worker, shape)];
    const bool is_in_service = state.IsPlaceable(WorkerId(id));
    const bool is_free = worker.free_accelerators >= shape.accelerators_per_worker();
    domain.configured += 1;
    domain.in_service += is_in_service ? 1 : 0;
    domain.free += is_in_service && is_free ? 1 : 0;
  }
  DomainCount most;
  for (const auto& [number, domain] : domains) {
    most.configured = std::max(most.configured, domain.configured);
    most.in_service = std::max(most.in_service, domain.in_service);
    most.free = std::max(most.free, domain.free);
  }
  return {.configured = most.configured, .in_service = most.in_service, .free = most.free};
}

}  // namespace clementineloom
