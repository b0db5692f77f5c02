#include "support/reclaim_check.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "clementineloom/state/cell_units.h"
#include "support/packing.h"
#include "support/quota_ledger.h"

namespace clementineloom::bench {
namespace {

CellDemand WholeShape(const GangShape& shape) {
  return {.workers = shape.workers(),
          .accelerators = shape.accelerators_per_worker(),
          .adjacency = shape.adjacency(),
          .domain = std::nullopt};
}

std::vector<CellDemand> ShapesOf(const Team& team) {
  std::vector<CellDemand> shapes;
  for (const Guarantee& it : team.guarantees()) {
    shapes.insert(shapes.end(), it.count(), WholeShape(it.shape()));
  }
  return shapes;
}

std::vector<CellDemand> AllShapes(const ClusterState& state) {
  std::vector<CellDemand> shapes;
  for (const TeamEntry& it : state.teams()) {
    if (!it.deleted) {
      const auto own = ShapesOf(it.team);
      shapes.insert(shapes.end(), own.begin(), own.end());
    }
  }
  return shapes;
}

// Jobs that are stopping or have an unplaceable worker are about to release their accelerators.
bool IsStaying(const ClusterState& state, const JobEntry& job) {
  return job.phase != JobPhase::kStopping &&
         std::ranges::all_of(job.allocations,
                             [&](const Allocation& it) { return state.IsPlaceable(it.worker()); });
}

void Occupy(FreeMap& free, const JobEntry& job) {
  for (const Allocation& it : job.allocations) {
    const auto row = std::ranges::find(free.rows(), it.worker().value(), &FreeMap::Row::worker);
    row->free = static_cast<std::uint16_t>(row->free - it.accelerators());
  }
}

std::uint32_t DomainOfJob(const FreeMap& free, const JobEntry& job, Adjacency adjacency) {
  const std::uint32_t worker = job.allocations.front().worker().value();
  return FreeMap::DomainOf(*std::ranges::find(free.rows(), worker, &FreeMap::Row::worker),
                           adjacency);
}

CellDemand RemainingShape(const GangShape& shape, std::uint32_t used_units, std::uint32_t domain) {
  CellDemand remaining = WholeShape(shape);
  remaining.domain = domain;
  const std::uint32_t left = CellCapacity(shape) - used_units;
  if (shape.workers() == 1) {
    remaining.accelerators = static_cast<std::uint16_t>(left);
  } else {
    remaining.workers = left;
  }
  return remaining;
}

Reclaim CellReclaim(const ClusterState& state) {
  using Cell = std::tuple<TeamId, std::uint16_t, std::uint16_t>;
  struct Use {
    std::uint32_t units = 0;
    std::uint32_t domain = 0;
  };
  Reclaim reclaim{.free = FreeMap::OfEmptyState(state), .demands = {}};
  std::map<Cell, Use> used;
  for (const JobId id : state.active_jobs()) {
    const JobEntry& job = *state.FindJob(id);
    if (job.kind != CapacityKind::kGuaranteed || !IsStaying(state, job)) {
      continue;
    }
    Occupy(reclaim.free, job);
    const GangShape& shape = state.team(job.team).team.guarantees()[job.guarantee_index].shape();
    Use& use = used[Cell(job.team, job.guarantee_index, job.guarantee_instance)];
    use.units += CellUnits(shape, job.spec->shape());
    use.domain = DomainOfJob(reclaim.free, job, shape.adjacency());
  }
  for (std::uint32_t team = 0; team < state.teams().size(); ++team) {
    const TeamEntry& entry = state.teams()[team];
    for (std::uint16_t n = 0; !entry.deleted && n < entry.team.guarantees().size(); ++n) {
      const Guarantee& guarantee = entry.team.guarantees()[n];
      for (std::uint16_t instance = 0; instance < guarantee.count(); ++instance) {
        const auto it = used.find(Cell(TeamId(team), n, instance));
        if (it == used.end()) {
          reclaim.demands.push_back(WholeShape(guarantee.shape()));
        } else if (it->second.units < CellCapacity(guarantee.shape())) {
          reclaim.demands.push_back(
              RemainingShape(guarantee.shape(), it->second.units, it->second.domain));
        }
      }
    }
  }
  return reclaim;
}

// The team's jobs within its quota, counted in the order of their placements.
std::vector<const JobEntry*> JobsWithinQuota(const ClusterState& state, TeamId team,
                                             std::uint32_t quota) {
  std::vector<const JobEntry*> jobs;
  for (const JobId id : state.active_jobs()) {
    const JobEntry* job = state.FindJob(id);
    if (job->team == team && IsStaying(state, *job)) {
      jobs.push_back(job);
    }
  }
  std::ranges::sort(jobs, {}, [](const JobEntry* it) { return it->token; });
  std::uint32_t use = 0;
  std::erase_if(jobs, [&](const JobEntry* it) {
    const std::uint32_t size = it->spec->shape().total_accelerators();
    const bool is_borrowed = use + size > quota;
    use += is_borrowed ? 0 : size;
    return is_borrowed;
  });
  return jobs;
}

Reclaim QuotaReclaim(const ClusterState& state) {
  const QuotaLedger ledger(state);
  Reclaim reclaim{.free = FreeMap::OfEmptyState(state), .demands = {}};
  for (std::uint32_t n = 0; n < state.teams().size(); ++n) {
    std::uint32_t use = 0;
    for (const JobEntry* job : JobsWithinQuota(state, TeamId(n), ledger.quota(TeamId(n)))) {
      Occupy(reclaim.free, *job);
      use += job->spec->shape().total_accelerators();
    }
    // A counted quota does not bind work to a shape. The work is assumed to use up the largest
    // shapes of its team, rounded up to whole shapes, which leaves the smallest demand.
    std::vector<CellDemand> shapes = ShapesOf(state.teams()[n].team);
    std::ranges::stable_sort(shapes, {}, [](const CellDemand& it) { return it.total(); });
    while (use > 0 && !shapes.empty()) {
      use -= std::min(use, shapes.back().total());
      shapes.pop_back();
    }
    reclaim.demands.insert(reclaim.demands.end(), shapes.begin(), shapes.end());
  }
  return reclaim;
}

}  // namespace

PackingResult ReclaimCheck::Check(const ClusterState& state) {
  Reclaim reclaim =
      accounting_ == GuaranteeAccounting::kCells ? CellReclaim(state) : QuotaReclaim(state);
  if (reclaim == last_) {
    return last_result_;
  }
  last_ = std::move(reclaim);
  last_result_ = Pack(last_.free, last_.demands);
  if (last_result_ == PackingResult::kDoesNotFit) {
    const PackingResult empty = Pack(FreeMap::OfEmptyState(state), AllShapes(state));
    const bool is_policy_fault = empty == PackingResult::kFits;
    last_result_ = is_policy_fault ? PackingResult::kDoesNotFit : PackingResult::kFits;
  }
  return last_result_;
}

}  // namespace clementineloom::bench
