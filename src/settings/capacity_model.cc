#include "settings/capacity_model.h"

#include <algorithm>
#include <limits>
#include <map>
#include <string>

namespace clementineloom::settings {

CapacityModel::CapacityModel(std::span<const WorkerShape> shapes) {
  std::map<std::string, std::uint32_t> data_centres;
  std::uint32_t racks = 0;
  for (const WorkerShape& it : shapes) {
    const auto next = static_cast<std::uint32_t>(data_centres.size());
    const std::uint32_t data_centre = data_centres.emplace(it.data_centre, next).first->second;
    for (std::uint32_t rack = 0; rack < it.racks; ++rack, ++racks) {
      workers_.insert(workers_.end(), it.workers_per_rack, {data_centre, racks, it.accelerators});
    }
  }
  std::ranges::stable_sort(workers_, {}, &WorkerSlot::data_centre);
}

bool CapacityModel::Place(const GangShape& shape) {
  const std::vector<std::size_t> chosen = ChooseWorkers(shape);
  for (const std::size_t it : chosen) {
    workers_[it].free -= shape.accelerators_per_worker();
  }
  return !chosen.empty();
}

std::uint32_t CapacityModel::DomainOf(std::size_t worker, Adjacency adjacency) const {
  switch (adjacency) {
    case Adjacency::kWorker:
      return static_cast<std::uint32_t>(worker);
    case Adjacency::kRack:
      return workers_[worker].rack;
    case Adjacency::kDataCentre:
      return workers_[worker].data_centre;
  }
  return 0;
}

std::vector<std::size_t> CapacityModel::ChooseWorkers(const GangShape& shape) const {
  std::vector<std::size_t> best;
  std::uint64_t best_free = std::numeric_limits<std::uint64_t>::max();
  std::size_t n = 0;
  while (n < workers_.size()) {
    const std::uint32_t domain = DomainOf(n, shape.adjacency());
    std::vector<std::size_t> usable;
    std::uint64_t free = 0;
    for (; n < workers_.size() && DomainOf(n, shape.adjacency()) == domain; ++n) {
      free += workers_[n].free;
      if (workers_[n].free >= shape.accelerators_per_worker()) {
        usable.push_back(n);
      }
    }
    if (usable.size() >= shape.workers() && free < best_free) {
      best_free = free;
      best = std::move(usable);
    }
  }
  std::ranges::stable_sort(best, {}, [this](std::size_t it) { return workers_[it].free; });
  best.resize(std::min<std::size_t>(best.size(), shape.workers()));
  return best;
}

}  // namespace clementineloom::settings
