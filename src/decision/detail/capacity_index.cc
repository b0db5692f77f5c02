#include "clementineloom/decision/detail/capacity_index.h"

#include <algorithm>

namespace clementineloom::detail {

void CapacityIndex::Reset(const ClusterState& state) {
  *this = CapacityIndex();
  amounts_.reserve(state.workers().size());
  rack_counts_.reserve(state.racks().size());
}

void CapacityIndex::Set(const ClusterState& state, WorkerId worker, std::uint32_t accelerators) {
  if (worker.value() >= amounts_.size()) {
    amounts_.resize(worker.value() + 1, 0);
    racks_.resize(worker.value() + 1);
  }
  std::uint16_t& amount = amounts_[worker.value()];
  const RackId rack = state.worker(worker).rack;
  if (racks_[worker.value()] != rack) {
    // A worker registered again in another rack is first removed from the counts of the old one.
    for (std::uint32_t n = 1; n <= amount; ++n) {
      Count(state, worker, n, -1);
    }
    amount = 0;
    workers_.Put(worker.value(), 0);
    racks_[worker.value()] = rack;
  }
  if (amount == accelerators) {
    return;
  }
  for (std::uint32_t n = amount + 1U; n <= accelerators; ++n) {
    Count(state, worker, n, +1);
  }
  for (std::uint32_t n = accelerators + 1; n <= amount; ++n) {
    Count(state, worker, n, -1);
  }
  amount = static_cast<std::uint16_t>(accelerators);
  workers_.Put(worker.value(), accelerators);
}

CapacityIndex::Level& CapacityIndex::LevelAt(DataCentreId data_centre, std::uint32_t level) {
  if (data_centre.value() >= levels_.size()) {
    levels_.resize(data_centre.value() + 1U);
  }
  auto& levels = levels_[data_centre.value()];
  if (level >= levels.size()) {
    levels.resize(level + 1);
  }
  return levels[level];
}

void CapacityIndex::Count(const ClusterState& state, WorkerId worker, std::uint32_t level,
                          int change) {
  const RackId rack = racks_[worker.value()];
  if (rack.value() >= rack_counts_.size()) {
    rack_counts_.resize(rack.value() + 1);
  }
  auto& counts = rack_counts_[rack.value()];
  if (level >= counts.size()) {
    counts.resize(level + 1, 0);
  }
  counts[level] = static_cast<std::uint16_t>(counts[level] + change);
  Level& entry = LevelAt(state.rack(rack).data_centre, level);
  entry.workers = static_cast<std::uint32_t>(static_cast<int>(entry.workers) + change);
  entry.racks.Put(rack.value(), counts[level]);
}

bool CapacityIndex::Fits(const GangDemand& demand) const { return !Domains(demand, 1).empty(); }

std::vector<std::uint32_t> CapacityIndex::Domains(const GangDemand& demand,
                                                  std::size_t limit) const {
  if (demand.workers == 1) {
    return SingleWorkers(demand, limit);
  }
  return demand.adjacency == Adjacency::kRack ? Racks(demand, limit) : DataCentres(demand, limit);
}

std::vector<std::uint32_t> CapacityIndex::SingleWorkers(const GangDemand& demand,
                                                        std::size_t limit) const {
  std::vector<std::uint32_t> found;
  for (std::uint32_t n = demand.accelerators; n < workers_.size(); ++n) {
    for (const std::uint32_t worker : workers_.bucket(n)) {
      if (found.size() == limit) {
        return found;
      }
      found.push_back(worker);
    }
  }
  return found;
}

std::vector<std::uint32_t> CapacityIndex::Racks(const GangDemand& demand, std::size_t limit) const {
  std::vector<std::pair<std::uint32_t, std::uint32_t>> found;
  for (const auto& levels : levels_) {
    if (demand.accelerators >= levels.size()) {
      continue;
    }
    const BucketList& racks = levels[demand.accelerators].racks;
    std::size_t taken = 0;
    for (std::uint32_t n = demand.workers; n < racks.size() && taken < limit; ++n) {
      for (const std::uint32_t rack : racks.bucket(n)) {
        found.emplace_back(n, rack);
        if (++taken == limit) {
          break;
        }
      }
    }
  }
  std::ranges::sort(found);
  found.resize(std::min(found.size(), limit));
  std::vector<std::uint32_t> racks;
  racks.reserve(found.size());
  for (const auto& [count, rack] : found) {
    racks.push_back(rack);
  }
  return racks;
}

std::vector<std::uint32_t> CapacityIndex::DataCentres(const GangDemand& demand,
                                                      std::size_t limit) const {
  const auto reaching = [&](std::uint32_t data_centre) {
    const auto& levels = levels_[data_centre];
    return demand.accelerators < levels.size() ? levels[demand.accelerators].workers : 0;
  };
  std::vector<std::uint32_t> found;
  for (std::uint32_t n = 0; n < levels_.size(); ++n) {
    if (reaching(n) >= demand.workers) {
      found.push_back(n);
    }
  }
  std::ranges::stable_sort(found, {}, reaching);
  found.resize(std::min(found.size(), limit));
  return found;
}

std::vector<WorkerId> CapacityIndex::Collect(const ClusterState& state, const GangDemand& demand,
                                             std::uint32_t domain) const {
  std::vector<WorkerId> gang;
  if (demand.workers == 1) {
    gang.emplace_back(domain);
    return gang;
  }
  gang.reserve(demand.workers);
  if (demand.adjacency == Adjacency::kRack) {
    CollectFromRack(state, demand, RackId(domain), gang);
    return gang;
  }
  // Fragmented racks first, so that unused racks are left for gangs that need a whole one.
  const BucketList& racks = levels_[domain][demand.accelerators].racks;
  for (std::uint32_t n = 1; n < racks.size(); ++n) {
    for (const std::uint32_t rack : racks.bucket(n)) {
      if (gang.size() == demand.workers) {
        return gang;
      }
      CollectFromRack(state, demand, RackId(rack), gang);
    }
  }
  return gang;
}

void CapacityIndex::CollectFromRack(const ClusterState& state, const GangDemand& demand,
                                    RackId rack, std::vector<WorkerId>& gang) const {
  std::vector<WorkerId> fitting;
  for (const WorkerId worker : state.rack(rack).workers) {
    if (Get(worker) >= demand.accelerators) {
      fitting.push_back(worker);
    }
  }
  std::ranges::stable_sort(fitting, {}, [this](WorkerId it) { return Get(it); });
  const std::size_t taken = std::min<std::size_t>(fitting.size(), demand.workers - gang.size());
  gang.insert(gang.end(), fitting.begin(), fitting.begin() + static_cast<std::ptrdiff_t>(taken));
}

WorkerId CapacityIndex::InMostFragmentedRack(const std::vector<std::uint32_t>& workers) const {
  const auto key = [this](std::uint32_t it) {
    const std::uint16_t amount = amounts_[it];
    return std::pair(amount, rack_counts_[racks_[it].value()][amount]);
  };
  return WorkerId(*std::ranges::min_element(workers, {}, key));
}

std::vector<WorkerId> CapacityIndex::Find(const ClusterState& state,
                                          const GangDemand& demand) const {
  if (demand.workers == 1) {
    const auto workers = SingleWorkers(demand, kWorkersCompared);
    return workers.empty() ? std::vector<WorkerId>() : std::vector{InMostFragmentedRack(workers)};
  }
  const auto domains = Domains(demand, 1);
  return domains.empty() ? std::vector<WorkerId>() : Collect(state, demand, domains.front());
}

}  // namespace clementineloom::detail
