#include "clementineloom/decision/cell_placer.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "clementineloom/decision/detail/cell_charge.h"
#include "clementineloom/decision/detail/domain_workers.h"
#include "clementineloom/decision/detail/victim_search.h"
#include "clementineloom/state/cell_units.h"

namespace clementineloom {

using detail::CapacityIndex;
using detail::CellBinding;
using detail::GangDemand;
using detail::Victims;
using detail::VictimSearch;

namespace {

GangDemand DemandOf(const GangShape& shape) {
  return {shape.accelerators_per_worker(), shape.workers(), shape.adjacency()};
}

Placement MakePlacement(JobId id, const JobEntry& job, const std::vector<WorkerId>& workers,
                        const CellKey* cell) {
  Placement::Fields fields{.job = id, .attempt = job.attempt + 1, .allocations = {}};
  if (cell != nullptr) {
    fields.kind = CapacityKind::kGuaranteed;
    fields.guarantee_index = cell->guarantee;
    fields.guarantee_instance = cell->instance;
  }
  fields.allocations.reserve(workers.size());
  for (const WorkerId it : workers) {
    fields.allocations.emplace_back(it, job.spec->shape().accelerators_per_worker());
  }
  return Placement(std::move(fields));
}

// Whether the job uses all accelerators of each cell worker that it occupies.
bool FillsWorkers(const GangShape& cell, const GangShape& job) {
  return cell.workers() == 1 || job.accelerators_per_worker() == cell.accelerators_per_worker();
}

// Whether a job of the shape fits into the idle part of the cell. With may_use_part, the job may
// leave accelerators of the cell's workers idle.
bool HasRoomFor(const CellBinding& cell, const GangShape& job, bool may_use_part) {
  return FitsInCell(cell.shape, job) && (may_use_part || FillsWorkers(cell.shape, job)) &&
         cell.used_units + CellUnits(cell.shape, job) <= CellCapacity(cell.shape);
}

}  // namespace

std::optional<Placement> CellPlacer::Place(const ClusterState& state, JobId job, Instant now) {
  BeginPass(state, now);
  auto placement = PlaceInCell(state, job);
  return placement ? std::move(placement) : PlaceBorrowing(state, job);
}

void CellPlacer::BeginPass(const ClusterState& state, Instant now) {
  now_ = now;
  packing_.Follow(state);
  stopping_.clear();
}

bool CellPlacer::HasIdleCell(const ClusterState& state, TeamId team, const GangShape& shape) const {
  const bool may_use_part = !state.team(team).team.may_borrow();
  return std::ranges::any_of(packing_.cells(team), [&](const auto& cells) {
    return std::ranges::any_of(
        cells, [&](const CellBinding& it) { return HasRoomFor(it, shape, may_use_part); });
  });
}

bool CellPlacer::CanEverRun(const ClusterState& state, JobId job) const {
  const JobEntry& entry = *state.FindJob(job);
  const GangShape& shape = entry.spec->shape();
  if (!packing_.rooms().configured().Fits(DemandOf(shape))) {
    return false;
  }
  const Team& team = state.team(entry.team).team;
  return team.may_borrow() || std::ranges::any_of(team.guarantees(), [&](const Guarantee& it) {
           return FitsInCell(it.shape(), shape);
         });
}

std::vector<CellKey> CellPlacer::CellsFor(const ClusterState& state, const JobEntry& job) const {
  const GangShape& shape = job.spec->shape();
  const bool may_use_part =
      !state.team(job.team).team.may_borrow() || now_ - job.submitted_at >= kPartialUseAfter;
  // Order: bound cells before those at risk, then cells in use before idle ones, then best fit.
  std::vector<std::tuple<bool, bool, std::uint32_t, CellKey>> found;
  const auto& guarantees = packing_.cells(job.team);
  for (std::size_t n = 0; n < guarantees.size(); ++n) {
    for (std::size_t m = 0; m < guarantees[n].size(); ++m) {
      const CellBinding& cell = guarantees[n][m];
      if (HasRoomFor(cell, shape, may_use_part)) {
        const std::uint32_t rest = CellCapacity(cell.shape) - cell.used_units;
        const CellKey key = CellKey::At(job.team, n, m);
        const std::uint32_t size =
            rest * (cell.shape.workers() == 1 ? 1U : cell.shape.accelerators_per_worker());
        found.emplace_back(packing_.IsAtRisk(key), cell.used_units == 0, size, key);
      }
    }
  }
  const std::size_t kept = std::min(found.size(), kCellsTried);
  std::ranges::partial_sort(found, found.begin() + static_cast<std::ptrdiff_t>(kept));
  std::vector<CellKey> keys;
  keys.reserve(kept);
  for (std::size_t n = 0; n < kept; ++n) {
    keys.push_back(std::get<CellKey>(found[n]));
  }
  return keys;
}

std::optional<Placement> CellPlacer::PlaceInCell(const ClusterState& state, JobId job) {
  for (const CellKey& key : CellsFor(state, *state.FindJob(job))) {
    if (auto placement = PlaceIn(state, job, key)) {
      return placement;
    }
  }
  return std::nullopt;
}

std::optional<Placement> CellPlacer::PlaceIn(const ClusterState& state, JobId job,
                                             const CellKey& key) {
  const JobEntry& entry = *state.FindJob(job);
  if (auto placement = UseWorkers(state, job, key, FreeInBinding(entry, key))) {
    return placement;
  }
  for (const std::uint32_t domain : FreeDomains(state, entry, key)) {
    if (auto placement = UseWorkers(state, job, key, FreeInDomain(state, entry, key, domain))) {
      return placement;
    }
  }
  return std::nullopt;
}

std::optional<Placement> CellPlacer::UseWorkers(const ClusterState& state, JobId job,
                                                const CellKey& key, Workers workers) {
  const JobEntry& entry = *state.FindJob(job);
  if (workers.size() < entry.spec->shape().workers()) {
    return std::nullopt;
  }
  workers.resize(entry.spec->shape().workers());
  Placement placement = MakePlacement(job, entry, workers, &key);
  return packing_.Use(state, placement) ? std::optional(std::move(placement)) : std::nullopt;
}

CellPlacer::Workers CellPlacer::FreeInBinding(const JobEntry& job, const CellKey& key) const {
  Workers workers;
  const std::uint32_t needed = job.spec->shape().accelerators_per_worker();
  for (const WorkerId it : packing_.cell(key).idle.workers) {
    if (packing_.rooms().free().Get(it) >= needed) {
      workers.push_back(it);
    }
  }
  return workers;
}

std::vector<std::uint32_t> CellPlacer::FreeDomains(const ClusterState& state, const JobEntry& job,
                                                   const CellKey& key) const {
  if (const auto fixed = packing_.FixedDomain(state, key)) {
    return {*fixed};
  }
  const GangShape& cell = packing_.cell(key).shape;
  // First the domain where the whole cell fits, then those where only the job fits.
  auto domains = packing_.rooms().open().Domains(DemandOf(cell), 1);
  const GangDemand job_in_cell{job.spec->shape().accelerators_per_worker(),
                               job.spec->shape().workers(),
                               cell.workers() == 1 ? Adjacency::kWorker : cell.adjacency()};
  const bool is_worker = job_in_cell.workers == 1 && cell.workers() > 1;
  if (is_worker) {
    for (const std::uint32_t it : packing_.rooms().free().Domains(job_in_cell, kDomainsTried)) {
      domains.push_back(state.CellDomainOf(WorkerId(it), cell));
    }
    return domains;
  }
  const auto others = packing_.rooms().free().Domains(job_in_cell, kDomainsTried);
  domains.insert(domains.end(), others.begin(), others.end());
  return domains;
}

CellPlacer::Workers CellPlacer::FreeInDomain(const ClusterState& state, const JobEntry& job,
                                             const CellKey& key, std::uint32_t domain) const {
  const CellBinding& cell = packing_.cell(key);
  const GangShape& shape = job.spec->shape();
  const std::int32_t charge = detail::CellCharge(cell.shape, shape);
  const bool is_single = cell.shape.workers() == 1;
  Workers workers;
  detail::ForEachWorker(
      state, is_single ? Adjacency::kWorker : cell.shape.adjacency(), domain, [&](WorkerId it) {
        const auto& room = packing_.rooms().room(it);
        const bool is_used = !is_single && std::ranges::binary_search(cell.used, it);
        if (packing_.rooms().free().Get(it) >= shape.accelerators_per_worker() &&
            room.capacity - room.charged >= charge && !is_used) {
          workers.push_back(it);
        }
      });
  // Workers with enough accelerators outside cells first, so that fewer idle cells are displaced.
  std::ranges::stable_sort(workers, {}, [&](WorkerId it) {
    const std::uint32_t open = packing_.rooms().open().Get(it);
    return std::pair(open < static_cast<std::uint32_t>(charge), open);
  });
  return workers;
}

std::optional<Placement> CellPlacer::PlaceBorrowing(const ClusterState& state, JobId job) {
  const JobEntry& entry = *state.FindJob(job);
  if (!state.team(entry.team).team.may_borrow()) {
    return std::nullopt;
  }
  const GangDemand demand = DemandOf(entry.spec->shape());
  Workers workers = packing_.rooms().open().Find(state, demand);
  if (workers.size() < demand.workers) {
    workers = packing_.rooms().free().Find(state, demand);
  }
  if (workers.size() < demand.workers) {
    return std::nullopt;
  }
  Placement placement = MakePlacement(job, entry, workers, nullptr);
  (void)packing_.Use(state, placement);
  return placement;
}

std::vector<CellPlacer::Workers> CellPlacer::ReclaimSites(const ClusterState& state,
                                                          const CellKey& key) const {
  std::vector<Workers> sites{packing_.cell(key).idle.workers};
  if (packing_.FixedDomain(state, key)) {
    return sites;
  }
  const GangDemand demand = DemandOf(packing_.cell(key).shape);
  const CapacityIndex& slack = packing_.rooms().slack();
  for (const std::uint32_t domain : slack.Domains(demand, kDomainsTried)) {
    sites.push_back(slack.Collect(state, demand, domain));
  }
  return sites;
}

std::optional<ReclaimPlan> CellPlacer::PlanReclaim(const ClusterState& state, JobId job) {
  const JobEntry& entry = *state.FindJob(job);
  const GangShape& shape = entry.spec->shape();
  const VictimSearch search(state, packing_.rooms(), stopping_);
  std::vector<std::pair<Victims, CellKey>> choices;
  for (const CellKey& key : CellsFor(state, entry)) {
    for (const Workers& site : ReclaimSites(state, key)) {
      Victims victims = search.Choose(site, shape.workers(), shape.accelerators_per_worker());
      if (victims.workers.size() == shape.workers()) {
        choices.emplace_back(std::move(victims), key);
      }
    }
  }
  std::ranges::stable_sort(choices, {}, [](const auto& it) { return it.first.cost; });
  for (auto& [victims, key] : choices) {
    if (auto placement = UseWorkers(state, job, key, victims.workers)) {
      stopping_.insert(victims.jobs.begin(), victims.jobs.end());
      return ReclaimPlan{std::move(*placement), std::move(victims.jobs), victims.cost};
    }
  }
  return std::nullopt;
}

}  // namespace clementineloom
