#include "clementineloom/decision/first_fit_placer.h"

#include <utility>
#include <vector>

namespace clementineloom {
namespace {

// Adds fitting workers of one rack until the gang is complete or the rack is exhausted.
void TakeFromRack(const ClusterState& state, const RackEntry& rack, const GangShape& shape,
                  std::vector<Allocation>& gang) {
  for (const WorkerId id : rack.workers) {
    if (gang.size() == shape.workers()) {
      return;
    }
    const bool fits = state.worker(id).free_accelerators >= shape.accelerators_per_worker();
    if (fits && state.IsPlaceable(id)) {
      gang.emplace_back(id, shape.accelerators_per_worker());
    }
  }
}

std::vector<Allocation> FindGang(const ClusterState& state, const GangShape& shape) {
  for (const DataCentreEntry& data_centre : state.data_centres()) {
    std::vector<Allocation> gang;
    for (const RackId rack : data_centre.racks) {
      if (shape.adjacency() == Adjacency::kRack) {
        gang.clear();
      }
      TakeFromRack(state, state.rack(rack), shape, gang);
      if (gang.size() == shape.workers()) {
        return gang;
      }
    }
  }
  return {};
}

}  // namespace

std::optional<Placement> FirstFitPlacer::Place(const ClusterState& state, JobId job,
                                               Instant /*now*/) const {
  const JobEntry* entry = state.FindJob(job);
  std::vector<Allocation> gang = FindGang(state, entry->spec->shape());
  if (gang.empty()) {
    return std::nullopt;
  }
  return Placement({.job = job,
                    .attempt = entry->attempt + 1,
                    .kind = CapacityKind::kBorrowed,
                    .guarantee_index = 0,
                    .guarantee_instance = 0,
                    .allocations = std::move(gang)});
}

}  // namespace clementineloom
