#include "support/free_map.h"

#include <algorithm>

namespace clementineloom::bench {
namespace {

FreeMap::Row MakeRow(std::uint32_t id, const WorkerEntry& worker, std::uint16_t free) {
  return {.worker = id,
          .rack = worker.rack.value(),
          .data_centre = worker.data_centre.value(),
          .free = free};
}

}  // namespace

FreeMap FreeMap::OfState(const ClusterState& state) {
  FreeMap map;
  for (std::uint32_t n = 0; n < state.workers().size(); ++n) {
    const WorkerEntry& worker = state.worker(WorkerId(n));
    if (state.IsPlaceable(WorkerId(n))) {
      map.rows_.push_back(MakeRow(n, worker, worker.free_accelerators));
    }
  }
  return map;
}

FreeMap FreeMap::OfEmptyState(const ClusterState& state) {
  FreeMap map = OfState(state);
  for (Row& it : map.rows_) {
    it.free = state.worker(WorkerId(it.worker)).accelerators;
  }
  return map;
}

std::uint32_t FreeMap::total() const {
  std::uint32_t sum = 0;
  for (const Row& it : rows_) {
    sum += it.free;
  }
  return sum;
}

std::uint32_t FreeMap::DomainOf(const Row& row, Adjacency adjacency) {
  switch (adjacency) {
    case Adjacency::kWorker:
      return row.worker;
    case Adjacency::kRack:
      return row.rack;
    case Adjacency::kDataCentre:
      break;
  }
  return row.data_centre;
}

std::vector<std::uint32_t> FreeMap::Domains(Adjacency adjacency) const {
  std::vector<std::uint32_t> domains;
  for (const Row& it : rows_) {
    domains.push_back(DomainOf(it, adjacency));
  }
  std::ranges::sort(domains);
  domains.erase(std::unique(domains.begin(), domains.end()), domains.end());
  return domains;
}

bool FreeMap::Take(std::uint32_t domain, Adjacency adjacency, std::uint32_t workers,
                   std::uint16_t accelerators) {
  std::vector<Row*> fitting;
  for (Row& it : rows_) {
    if (DomainOf(it, adjacency) == domain && it.free >= accelerators) {
      fitting.push_back(&it);
    }
  }
  if (fitting.size() < workers) {
    return false;
  }
  std::ranges::stable_sort(fitting, {}, [](const Row* it) { return it->free; });
  for (std::uint32_t n = 0; n < workers; ++n) {
    fitting[n]->free = static_cast<std::uint16_t>(fitting[n]->free - accelerators);
  }
  return true;
}

}  // namespace clementineloom::bench
