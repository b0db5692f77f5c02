#include "clementineloom/decision/guarantee_packing.h"

#include <algorithm>

#include "clementineloom/decision/detail/cell_charge.h"
#include "clementineloom/decision/detail/sort_unique.h"
#include "clementineloom/state/cell_units.h"

namespace clementineloom {

using detail::CellBinding;
using detail::GangDemand;

void GuaranteePacking::Follow(const ClusterState& state) {
  if (!follower_.Follow(state)) {
    Rebuild(state);
    return;
  }
  const bool is_unchanged = follower_.jobs().empty() && follower_.workers().empty() &&
                            !follower_.config_changed() && touched_workers_.empty();
  if (!is_unchanged) {
    ReadChanges(state);
  }
}

void GuaranteePacking::Rebuild(const ClusterState& state) {
  rooms_.Rebuild(state);
  cells_.clear();
  unbound_.clear();
  cell_of_job_.clear();
  ReadDataCentres(state);
  ResetTouched();
  ReadConfig(state);
  for (const JobId job : state.active_jobs()) {
    ReadJob(state, job);
  }
  ReadTouchedCells(state);
  ResetTouched();
  BindUnbound(state);
}

void GuaranteePacking::ReadChanges(const ClusterState& state) {
  if (follower_.config_changed()) {
    ReadDataCentres(state);
    ReadConfig(state);
  }
  const auto& workers = follower_.workers();
  touched_workers_.insert(touched_workers_.end(), workers.begin(), workers.end());
  detail::SortUnique(touched_workers_);
  for (const WorkerId worker : touched_workers_) {
    UnbindMoved(state, worker);
    has_new_layout_ |= rooms_.Refresh(state, worker);
  }
  for (const JobId job : follower_.jobs()) {
    ReadJob(state, job);
  }
  ReadTouchedCells(state);
  std::vector<CellKey> displaced;
  for (const WorkerId worker : touched_workers_) {
    UnbindOverbooked(state, worker, displaced);
  }
  has_new_demand_ |= !displaced.empty();
  ResetTouched();
  BindUnbound(state);
}

void GuaranteePacking::ReadTouchedCells(const ClusterState& state) {
  for (const CellKey& key : touched_cells_) {
    if (HasCell(key)) {
      ReadCell(state, key);
    }
  }
}

void GuaranteePacking::ResetTouched() {
  touched_workers_.clear();
  touched_cells_.clear();
  undo_.clear();
}

// All workers of a data centre that went out of or into service count as changed.
void GuaranteePacking::ReadDataCentres(const ClusterState& state) {
  const auto& data_centres = state.data_centres();
  in_service_.resize(data_centres.size(), false);
  for (std::size_t n = 0; n < data_centres.size(); ++n) {
    const bool in_service = data_centres[n].data_centre.in_service();
    if (in_service_[n] == in_service) {
      continue;
    }
    in_service_[n] = in_service;
    for (const RackId rack : data_centres[n].racks) {
      const auto& workers = state.rack(rack).workers;
      touched_workers_.insert(touched_workers_.end(), workers.begin(), workers.end());
    }
  }
}

void GuaranteePacking::ReadConfig(const ClusterState& state) {
  // A guarantee that became smaller may free capacity for an unbound shape.
  has_new_layout_ = true;
  cells_.resize(state.teams().size());
  for (std::uint32_t n = 0; n < cells_.size(); ++n) {
    ReadTeam(state, TeamId(n));
  }
}

void GuaranteePacking::ReadTeam(const ClusterState& state, TeamId team) {
  const TeamEntry& entry = state.team(team);
  const std::size_t guarantees = entry.deleted ? 0 : entry.team.guarantees().size();
  auto& cells = cells_[team.value()];
  for (std::size_t n = 0; n < cells.size(); ++n) {
    const std::size_t kept = n < guarantees ? entry.team.guarantees()[n].count() : 0;
    const bool is_changed =
        kept > 0 && cells[n].front().shape != entry.team.guarantees()[n].shape();
    for (std::size_t m = 0; m < cells[n].size(); ++m) {
      if (m >= kept || is_changed) {
        DropCell(state, CellKey::At(team, n, m));
      }
    }
  }
  cells.resize(guarantees);
  for (std::size_t n = 0; n < guarantees; ++n) {
    const Guarantee& guarantee = entry.team.guarantees()[n];
    const bool is_changed = !cells[n].empty() && cells[n].front().shape != guarantee.shape();
    const std::size_t kept =
        is_changed ? 0 : std::min<std::size_t>(cells[n].size(), guarantee.count());
    cells[n].resize(guarantee.count(), CellBinding{guarantee.shape(), {}, {}, 0, {}});
    for (std::size_t m = kept; m < guarantee.count(); ++m) {
      cells[n][m].shape = guarantee.shape();
      touched_cells_.insert(CellKey::At(team, n, m));
    }
  }
}

void GuaranteePacking::DropCell(const ClusterState& state, const CellKey& key) {
  SetIdle(state, key, {});
  unbound_.erase(key);
}

bool GuaranteePacking::HasCell(const CellKey& key) const {
  return key.team.value() < cells_.size() && key.guarantee < cells_[key.team.value()].size() &&
         key.instance < cells_[key.team.value()][key.guarantee].size();
}

void GuaranteePacking::ReadJob(const ClusterState& state, JobId job) {
  if (const auto it = cell_of_job_.find(job); it != cell_of_job_.end()) {
    touched_cells_.insert(it->second);
    if (HasCell(it->second)) {
      std::erase(MutableCell(it->second).jobs, job);
    }
    cell_of_job_.erase(it);
  }
  const JobEntry* entry = state.FindJob(job);
  if (entry == nullptr || entry->kind != CapacityKind::kGuaranteed || entry->allocations.empty()) {
    return;
  }
  const CellKey key{entry->team, entry->guarantee_index, entry->guarantee_instance};
  cell_of_job_.emplace(job, key);
  MutableCell(key).jobs.push_back(job);
  touched_cells_.insert(key);
}

void GuaranteePacking::ReadCell(const ClusterState& state, const CellKey& key) {
  CellBinding& cell = MutableCell(key);
  Workers used;
  std::uint32_t used_units = 0;
  for (const JobId job : cell.jobs) {
    const JobEntry& entry = *state.FindJob(job);
    used_units += CellUnits(cell.shape, entry.spec->shape());
    for (const Allocation& it : entry.allocations) {
      used.push_back(it.worker());
    }
  }
  std::ranges::sort(used);
  const bool is_bound = cell.idle.workers.size() == IdleDemand(key).workers;
  if (is_bound && used == cell.used && used_units == cell.used_units) {
    return;
  }
  has_new_demand_ = true;
  Workers preferred = cell.idle.workers;
  preferred.insert(preferred.end(), cell.used.begin(), cell.used.end());
  cell.used = std::move(used);
  cell.used_units = used_units;
  (void)BindIdlePart(state, key, preferred);
}

GangDemand GuaranteePacking::IdleDemand(const CellKey& key) const {
  const CellBinding& it = cell(key);
  const std::uint32_t rest = CellCapacity(it.shape) - it.used_units;
  if (it.shape.workers() == 1) {
    return {rest, rest > 0 ? 1U : 0U, Adjacency::kWorker};
  }
  return {it.shape.accelerators_per_worker(), rest, it.shape.adjacency()};
}

std::optional<std::uint32_t> GuaranteePacking::FixedDomain(const ClusterState& state,
                                                           const CellKey& key) const {
  const CellBinding& it = cell(key);
  if (it.used.empty()) {
    return std::nullopt;
  }
  return state.CellDomainOf(it.used.front(), it.shape);
}

bool GuaranteePacking::Use(const ClusterState& state, const Placement& placement) {
  if (placement.kind() == CapacityKind::kBorrowed) {
    for (const Allocation& it : placement.allocations()) {
      KeepFree(state, it.worker(), it.accelerators());
    }
    return true;
  }
  const CellKey key{state.FindJob(placement.job())->team, placement.guarantee_index(),
                    placement.guarantee_instance()};
  const CellBinding before = cell(key);
  const std::set<CellKey> unbound_before = unbound_;
  const std::size_t mark = undo_.size();
  steps_left_ = kUseSteps;
  const std::vector<CellKey> displaced = TakeFromCell(state, key, placement);
  if (BindEach(state, displaced, kDisplacementDepth)) {
    touched_cells_.insert(key);
    for (const Allocation& it : placement.allocations()) {
      touched_workers_.push_back(it.worker());
    }
    return true;
  }
  const std::int32_t charge = ChargeOf(state, key, placement);
  for (const Allocation& it : placement.allocations()) {
    rooms_.Take(state, it.worker(), -std::int32_t{it.accelerators()}, -charge);
  }
  MutableCell(key).used = before.used;
  MutableCell(key).used_units = before.used_units;
  Rollback(state, mark);
  unbound_ = unbound_before;
  return false;
}

std::int32_t GuaranteePacking::ChargeOf(const ClusterState& state, const CellKey& key,
                                        const Placement& placement) const {
  return detail::CellCharge(cell(key).shape, state.FindJob(placement.job())->spec->shape());
}

std::vector<CellKey> GuaranteePacking::TakeFromCell(const ClusterState& state, const CellKey& key,
                                                    const Placement& placement) {
  CellBinding& cell = MutableCell(key);
  const bool was_at_risk = IsAtRisk(key);
  Workers preferred = cell.idle.workers;
  const std::int32_t charge = ChargeOf(state, key, placement);
  // The idle part is unbound first; what remains of it is bound again below.
  SetIdle(state, key, {});
  for (const Allocation& it : placement.allocations()) {
    rooms_.Take(state, it.worker(), it.accelerators(), charge);
    cell.used.push_back(it.worker());
  }
  std::ranges::sort(cell.used);
  cell.used_units += CellUnits(cell.shape, state.FindJob(placement.job())->spec->shape());
  preferred.insert(preferred.end(), cell.used.begin(), cell.used.end());
  std::vector<CellKey> displaced;
  for (const Allocation& it : placement.allocations()) {
    UnbindOverbooked(state, it.worker(), displaced);
  }
  const bool is_bound = BindIdlePart(state, key, preferred);
  if (!is_bound && !was_at_risk) {
    displaced.push_back(key);
  }
  return displaced;
}

void GuaranteePacking::KeepFree(const ClusterState& state, WorkerId worker,
                                std::int32_t accelerators) {
  rooms_.Take(state, worker, accelerators, 0);
  touched_workers_.push_back(worker);
}

std::vector<GuaranteeRisk> GuaranteePacking::Risks(const ClusterState& state) const {
  std::vector<GuaranteeRisk> risks;
  for (const CellKey& key : unbound_) {
    const std::string& name = state.team(key.team).team.name();
    const bool is_same = !risks.empty() && risks.back().team == name &&
                         risks.back().guarantee_index == key.guarantee;
    if (is_same) {
      ++risks.back().shapes;
    } else {
      risks.push_back({name, key.guarantee, cell(key).shape, 1});
    }
  }
  return risks;
}

}  // namespace clementineloom
