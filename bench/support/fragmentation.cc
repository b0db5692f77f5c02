#include "support/fragmentation.h"

#include <algorithm>
#include <map>

namespace clementineloom::bench {

std::optional<GangShape> LargestWaitingShape(const ClusterState& state) {
  std::optional<GangShape> largest;
  for (const JobId id : state.waiting_jobs()) {
    const GangShape& shape = state.FindJob(id)->spec->shape();
    if (!largest || shape.total_accelerators() > largest->total_accelerators()) {
      largest = shape;
    }
  }
  return largest;
}

std::uint32_t UsableAccelerators(FreeMap free, const GangShape& shape) {
  std::uint32_t usable = 0;
  for (const std::uint32_t domain : free.Domains(shape.adjacency())) {
    while (free.Take(domain, shape.adjacency(), shape.workers(), shape.accelerators_per_worker())) {
      usable += shape.total_accelerators();
    }
  }
  return usable;
}

std::uint32_t FragmentedAccelerators(const FreeMap& free, const GangShape& shape) {
  std::uint32_t fragmented = 0;
  for (const FreeMap::Row& it : free.rows()) {
    fragmented += it.free < shape.accelerators_per_worker() ? it.free : 0;
  }
  return fragmented;
}

std::uint32_t LargestPlaceableGang(const FreeMap& free, std::uint16_t accelerators_per_worker) {
  std::map<std::uint32_t, std::uint32_t> free_workers;
  std::uint32_t largest = 0;
  for (const FreeMap::Row& it : free.rows()) {
    if (it.free >= accelerators_per_worker) {
      largest = std::max(largest, ++free_workers[it.rack]);
    }
  }
  return largest * accelerators_per_worker;
}

}  // namespace clementineloom::bench
