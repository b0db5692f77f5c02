#include <algorithm>
#include <utility>

#include "clementineloom/decision/detail/domain_workers.h"
#include "clementineloom/decision/detail/sort_unique.h"
#include "clementineloom/decision/guarantee_packing.h"

namespace clementineloom {

using detail::GangDemand;
using detail::IdlePart;
using detail::WorkerRoom;

namespace {

std::int32_t SlackOf(const WorkerRoom& room) {
  return room.capacity - room.charged - room.reserved;
}

std::int32_t RoomOf(const WorkerRoom& room) { return room.capacity - room.charged; }

}  // namespace

std::uint32_t GuaranteePacking::SizeOf(const CellKey& key) const {
  const GangDemand demand = IdleDemand(key);
  return demand.accelerators * demand.workers;
}

void GuaranteePacking::SortBySize(std::vector<CellKey>& keys) const {
  std::ranges::sort(keys, [this](const CellKey& a, const CellKey& b) {
    return std::pair(SizeOf(b), a) < std::pair(SizeOf(a), b);
  });
}

bool GuaranteePacking::IsUsed(const CellKey& key, WorkerId worker) const {
  // The idle part of a cell within one worker stays on the worker that is in use.
  return cell(key).shape.workers() > 1 && std::ranges::binary_search(cell(key).used, worker);
}

void GuaranteePacking::SetIdle(const ClusterState& state, const CellKey& key, IdlePart idle) {
  SwapIdle(state, key, idle);
  undo_.emplace_back(key, std::move(idle));
}

void GuaranteePacking::SwapIdle(const ClusterState& state, const CellKey& key, IdlePart& idle) {
  IdlePart& current = MutableCell(key).idle;
  for (const WorkerId it : current.workers) {
    rooms_.Unreserve(state, it, key, static_cast<std::int32_t>(current.accelerators));
  }
  std::swap(current, idle);
  for (const WorkerId it : current.workers) {
    rooms_.Reserve(state, it, key, static_cast<std::int32_t>(current.accelerators));
  }
}

void GuaranteePacking::Rollback(const ClusterState& state, std::size_t mark) {
  while (undo_.size() > mark) {
    auto [key, idle] = std::move(undo_.back());
    undo_.pop_back();
    SwapIdle(state, key, idle);
  }
}

bool GuaranteePacking::BindIdlePart(const ClusterState& state, const CellKey& key,
                                    const Workers& preferred) {
  const auto fixed = FixedDomain(state, key);
  if (IdleDemand(key).workers == 0) {
    SetIdle(state, key, {});
    unbound_.erase(key);
    return true;
  }
  if (fixed && BindInDomain(state, key, *fixed, preferred)) {
    return true;
  }
  if (!fixed && preferred.empty()) {
    // A cell that was never bound is left to BindUnbound, which binds the largest cells first.
    unbound_.insert(key);
    return false;
  }
  if (!fixed) {
    const auto domain = state.CellDomainOf(preferred.front(), cell(key).shape);
    if (BindInDomain(state, key, domain, preferred)) {
      return true;
    }
  }
  if (!fixed && BindInSlack(state, key)) {
    return true;
  }
  unbound_.insert(key);
  return false;
}

bool GuaranteePacking::BindInSlack(const ClusterState& state, const CellKey& key) {
  if (const auto fixed = FixedDomain(state, key)) {
    return BindInDomain(state, key, *fixed, {});
  }
  SetIdle(state, key, {});
  const GangDemand demand = IdleDemand(key);
  Workers workers = rooms_.slack().Find(state, demand);
  if (workers.size() < demand.workers) {
    return false;
  }
  SetIdle(state, key, {demand.accelerators, std::move(workers)});
  unbound_.erase(key);
  return true;
}

bool GuaranteePacking::BindInDomain(const ClusterState& state, const CellKey& key,
                                    std::uint32_t domain, const Workers& preferred) {
  SetIdle(state, key, {});
  const GangDemand demand = IdleDemand(key);
  const GangShape& shape = cell(key).shape;
  const auto fits = [&](WorkerId it) {
    return rooms_.slack().Get(it) >= demand.accelerators && !IsUsed(key, it);
  };
  Workers chosen;
  for (const WorkerId it : preferred) {
    if (state.CellDomainOf(it, shape) == domain && fits(it)) {
      chosen.push_back(it);
    }
  }
  detail::SortUnique(chosen);
  if (chosen.size() < demand.workers) {
    Workers others;
    detail::ForEachWorker(state, demand.adjacency, domain, [&](WorkerId it) {
      if (fits(it) && !std::ranges::binary_search(chosen, it)) {
        others.push_back(it);
      }
    });
    std::ranges::stable_sort(others, {}, [&](WorkerId it) { return rooms_.slack().Get(it); });
    chosen.insert(chosen.end(), others.begin(), others.end());
  }
  if (chosen.size() < demand.workers) {
    return false;
  }
  chosen.resize(demand.workers);
  SetIdle(state, key, {demand.accelerators, std::move(chosen)});
  unbound_.erase(key);
  return true;
}

bool GuaranteePacking::Bind(const ClusterState& state, const CellKey& key, int depth) {
  return BindInSlack(state, key) || (depth > 0 && BindByDisplacement(state, key, depth - 1));
}

bool GuaranteePacking::BindEach(const ClusterState& state, std::vector<CellKey> keys, int depth) {
  SortBySize(keys);
  return std::ranges::all_of(keys, [&](const CellKey& it) {
    // A cell that was bound meanwhile, while another one was displaced, keeps its binding.
    return !IsAtRisk(it) || Bind(state, it, depth);
  });
}

bool GuaranteePacking::BindByDisplacement(const ClusterState& state, const CellKey& key,
                                          int depth) {
  for (const std::uint32_t domain : DisplacementDomains(state, key)) {
    if (steps_left_ <= 0) {
      return false;
    }
    --steps_left_;
    if (DisplaceIn(state, key, domain, depth)) {
      return true;
    }
  }
  return false;
}

bool GuaranteePacking::DisplaceIn(const ClusterState& state, const CellKey& key,
                                  std::uint32_t domain, int depth) {
  const GangDemand demand = IdleDemand(key);
  Workers workers = LeastReserved(state, key, domain);
  if (workers.size() < demand.workers) {
    return false;
  }
  const std::size_t mark = undo_.size();
  const std::set<CellKey> unbound_before = unbound_;
  std::vector<CellKey> displaced;
  for (const WorkerId it : workers) {
    while (SlackOf(rooms_.room(it)) < static_cast<std::int32_t>(demand.accelerators)) {
      displaced.push_back(UnbindSmallest(state, it));
    }
  }
  SetIdle(state, key, {demand.accelerators, std::move(workers)});
  unbound_.erase(key);
  if (BindEach(state, std::move(displaced), depth) && !IsAtRisk(key)) {
    return true;
  }
  Rollback(state, mark);
  unbound_ = unbound_before;
  return false;
}

CellKey GuaranteePacking::UnbindSmallest(const ClusterState& state, WorkerId worker) {
  const auto& bound = rooms_.room(worker).bound;
  const CellKey key =
      *std::ranges::min_element(bound, {}, [this](const CellKey& it) { return SizeOf(it); });
  SetIdle(state, key, {});
  unbound_.insert(key);
  return key;
}

void GuaranteePacking::UnbindMoved(const ClusterState& state, WorkerId worker) {
  if (worker.value() >= rooms_.size() || rooms_.room(worker).rack == state.worker(worker).rack) {
    return;
  }
  while (!rooms_.room(worker).bound.empty()) {
    UnbindSmallest(state, worker);
  }
}

void GuaranteePacking::UnbindOverbooked(const ClusterState& state, WorkerId worker,
                                        std::vector<CellKey>& displaced) {
  while (rooms_.IsOverbooked(worker)) {
    displaced.push_back(UnbindSmallest(state, worker));
  }
}

std::vector<std::uint32_t> GuaranteePacking::DisplacementDomains(const ClusterState& state,
                                                                 const CellKey& key) const {
  if (const auto fixed = FixedDomain(state, key)) {
    return {*fixed};
  }
  const GangDemand demand = IdleDemand(key);
  std::vector<std::pair<std::int32_t, std::uint32_t>> domains;
  const std::size_t n = detail::DomainCount(state, demand.adjacency);
  for (std::uint32_t domain = 0; domain < n; ++domain) {
    std::uint32_t fitting = 0;
    std::int32_t reserved = 0;
    detail::ForEachWorker(state, demand.adjacency, domain, [&](WorkerId it) {
      const WorkerRoom& room = rooms_.room(it);
      if (RoomOf(room) >= static_cast<std::int32_t>(demand.accelerators)) {
        ++fitting;
        reserved += room.reserved;
      }
    });
    if (fitting >= demand.workers) {
      domains.emplace_back(reserved, domain);
    }
  }
  const std::size_t kept = std::min(domains.size(), kDomainsTried);
  std::ranges::partial_sort(domains, domains.begin() + static_cast<std::ptrdiff_t>(kept));
  std::vector<std::uint32_t> found;
  found.reserve(kept);
  for (std::size_t it = 0; it < kept; ++it) {
    found.push_back(domains[it].second);
  }
  return found;
}

GuaranteePacking::Workers GuaranteePacking::LeastReserved(const ClusterState& state,
                                                          const CellKey& key,
                                                          std::uint32_t domain) const {
  const GangDemand demand = IdleDemand(key);
  Workers workers;
  detail::ForEachWorker(state, demand.adjacency, domain, [&](WorkerId it) {
    const bool fits = RoomOf(rooms_.room(it)) >= static_cast<std::int32_t>(demand.accelerators);
    if (fits && !IsUsed(key, it)) {
      workers.push_back(it);
    }
  });
  std::ranges::stable_sort(workers, {}, [&](WorkerId it) { return -SlackOf(rooms_.room(it)); });
  workers.resize(std::min<std::size_t>(workers.size(), demand.workers));
  return workers;
}

void GuaranteePacking::BindUnbound(const ClusterState& state) {
  const bool has_new_layout = std::exchange(has_new_layout_, false);
  const bool has_new_demand = std::exchange(has_new_demand_, false);
  if (unbound_.empty() || (!has_new_layout && !has_new_demand)) {
    return;
  }
  steps_left_ = kRepairSteps;
  std::vector<CellKey> keys(unbound_.begin(), unbound_.end());
  SortBySize(keys);
  for (const CellKey& it : keys) {
    (void)Bind(state, it, kDisplacementDepth);
  }
  if (!unbound_.empty()) {
    Repack(state, has_new_layout);
  }
}

void GuaranteePacking::Repack(const ClusterState& state, bool has_new_layout) {
  const std::size_t mark = undo_.size();
  const std::set<CellKey> unbound_before = unbound_;
  std::vector<CellKey> keys;
  for (std::uint32_t n = 0; n < cells_.size(); ++n) {
    for (std::size_t m = 0; m < cells_[n].size(); ++m) {
      for (std::size_t it = 0; it < cells_[n][m].size(); ++it) {
        keys.push_back(CellKey::At(TeamId(n), m, it));
      }
    }
  }
  std::erase_if(keys, [this](const CellKey& it) { return IdleDemand(it).workers == 0; });
  std::int64_t needed = 0;
  for (const CellKey& it : keys) {
    needed += SizeOf(it);
  }
  const bool is_small = keys.size() <= kCellsRepackedAlways;
  if (needed > rooms_.total_room() || !(is_small || has_new_layout)) {
    return;
  }
  SortBySize(keys);
  for (const CellKey& it : keys) {
    SetIdle(state, it, {});
    unbound_.insert(it);
  }
  steps_left_ = kRepackSteps + static_cast<int>(keys.size());
  if (!RepackFrom(state, keys, 0)) {
    Rollback(state, mark);
    unbound_ = unbound_before;
  }
}

bool GuaranteePacking::RepackFrom(const ClusterState& state, const std::vector<CellKey>& keys,
                                  std::size_t n) {
  if (n == keys.size()) {
    return true;
  }
  const CellKey& key = keys[n];
  const GangDemand demand = IdleDemand(key);
  const auto fixed = FixedDomain(state, key);
  const auto domains = fixed ? std::vector{*fixed} : rooms_.slack().Domains(demand, kDomainsTried);
  for (const std::uint32_t domain : domains) {
    for (Workers& workers : CandidateWorkerSets(state, key, domain)) {
      if (--steps_left_ <= 0) {
        return false;
      }
      SetIdle(state, key, {demand.accelerators, std::move(workers)});
      unbound_.erase(key);
      if (RepackFrom(state, keys, n + 1)) {
        return true;
      }
      SetIdle(state, key, {});
      unbound_.insert(key);
    }
  }
  return false;
}

std::vector<GuaranteePacking::Workers> GuaranteePacking::CandidateWorkerSets(
    const ClusterState& state, const CellKey& key, std::uint32_t domain) const {
  const GangDemand demand = IdleDemand(key);
  Workers fitting;
  detail::ForEachWorker(state, demand.adjacency, domain, [&](WorkerId it) {
    if (rooms_.slack().Get(it) >= demand.accelerators && !IsUsed(key, it)) {
      fitting.push_back(it);
    }
  });
  if (fitting.size() < demand.workers) {
    return {};
  }
  std::ranges::stable_sort(fitting, {}, [&](WorkerId it) { return rooms_.slack().Get(it); });
  const auto n = static_cast<std::ptrdiff_t>(demand.workers);
  std::vector<Workers> choices;
  // Best fit first, then further subsets in order, and the loosest fit last.
  std::vector<bool> is_taken(fitting.size(), false);
  std::fill(is_taken.begin(), is_taken.begin() + n, true);
  do {
    Workers& choice = choices.emplace_back();
    for (std::size_t it = 0; it < fitting.size(); ++it) {
      if (is_taken[it]) {
        choice.push_back(fitting[it]);
      }
    }
  } while (choices.size() < kCandidateSetsTried &&
           std::prev_permutation(is_taken.begin(), is_taken.end()));
  choices.emplace_back(fitting.end() - n, fitting.end());
  return choices;
}

}  // namespace clementineloom
