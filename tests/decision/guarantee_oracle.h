#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "clementineloom/state/cell_units.h"
#include "clementineloom/state/cluster_state.h"

namespace clementineloom::testing_support {

/// @brief Exhaustive search for a packing of all idle guaranteed shapes; suitable only for small
/// clusters.
///
/// Implements the statement of the invariant alone and shares no code with the search that it
/// checks.
class GuaranteeOracle {
 public:
  /// @param whole_units whether a used unit of a gang cell counts with all its accelerators, which
  /// keeps the cell complete when its jobs end, or only with those that the job holds
  GuaranteeOracle(const ClusterState& state, bool whole_units) : state_(&state) {
    for (const WorkerEntry& it : state.workers()) {
      const WorkerId id(static_cast<std::uint32_t>(rooms_.size()));
      rooms_.push_back(state.IsPlaceable(id) ? it.accelerators : 0);
    }
    for (std::uint32_t n = 0; n < state.teams().size(); ++n) {
      AddTeam(TeamId(n), whole_units);
    }
    std::stable_sort(demands_.begin(), demands_.end(), [](const Demand& a, const Demand& b) {
      const auto key = [](const Demand& it) {
        return std::pair(!it.domain.has_value(), -it.accelerators * static_cast<int>(it.workers));
      };
      return key(a) < key(b);
    });
  }

  /// @brief Whether all shapes fit at once; nothing if the search reached its limit of steps.
  [[nodiscard]] std::optional<bool> Fits() {
    const bool fits = PlaceFrom(0);
    return steps_left_ > 0 ? std::optional(fits) : std::nullopt;
  }

 private:
  struct Demand {
    int accelerators = 0;
    std::size_t workers = 0;
    Adjacency adjacency = Adjacency::kWorker;
    std::optional<std::uint32_t> domain;
    std::vector<WorkerId> excluded;
  };

  void AddTeam(TeamId team, bool whole_units) {
    const TeamEntry& entry = state_->team(team);
    for (std::size_t n = 0; n < entry.cells.size(); ++n) {
      for (std::size_t m = 0; m < entry.cells[n].size(); ++m) {
        AddCell(team, n, m, whole_units);
      }
    }
  }

  void AddCell(TeamId team, std::size_t guarantee, std::size_t instance, bool whole_units) {
    const GangShape& shape = state_->team(team).team.guarantees()[guarantee].shape();
    const bool is_single = shape.workers() == 1;
    Demand demand;
    demand.adjacency = is_single ? Adjacency::kWorker : shape.adjacency();
    std::uint32_t units = 0;
    for (const JobId id : state_->active_jobs()) {
      const JobEntry& job = *state_->FindJob(id);
      const bool uses = job.kind == CapacityKind::kGuaranteed && job.team == team &&
                        job.guarantee_index == guarantee && job.guarantee_instance == instance;
      if (!uses) {
        continue;
      }
      units += CellUnits(shape, job.spec->shape());
      for (const Allocation& it : job.allocations) {
        const bool is_whole = whole_units && !is_single;
        rooms_[it.worker().value()] -=
            is_whole ? shape.accelerators_per_worker() : it.accelerators();
        demand.domain = state_->DomainOf(it.worker(), demand.adjacency);
        demand.excluded.push_back(it.worker());
      }
    }
    const std::uint32_t rest = CellCapacity(shape) - units;
    demand.accelerators = static_cast<int>(is_single ? rest : shape.accelerators_per_worker());
    demand.workers = is_single ? 1 : rest;
    if (is_single) {
      demand.excluded.clear();
    }
    if (rest > 0) {
      demands_.push_back(demand);
    }
  }

  bool PlaceFrom(std::size_t n) {
    if (n == demands_.size()) {
      return true;
    }
    if (demands_[n].domain) {
      return PlaceIn(n, *demands_[n].domain, 0, demands_[n].workers);
    }
    std::vector<std::uint32_t> domains;
    for (std::uint32_t it = 0; it < rooms_.size(); ++it) {
      domains.push_back(state_->DomainOf(WorkerId(it), demands_[n].adjacency));
    }
    std::sort(domains.begin(), domains.end());
    domains.erase(std::unique(domains.begin(), domains.end()), domains.end());
    return std::any_of(domains.begin(), domains.end(),
                       [&](std::uint32_t it) { return PlaceIn(n, it, 0, demands_[n].workers); });
  }

  // Chooses the remaining workers of demand n among those with numbers not less than from.
  bool PlaceIn(std::size_t n, std::uint32_t domain, std::uint32_t from, std::size_t rest) {
    if (--steps_left_ <= 0) {
      return false;
    }
    if (rest == 0) {
      return PlaceFrom(n + 1);
    }
    const Demand& demand = demands_[n];
    for (std::uint32_t it = from; it < rooms_.size(); ++it) {
      const WorkerId worker(it);
      const bool fits = rooms_[it] >= demand.accelerators &&
                        state_->DomainOf(worker, demand.adjacency) == domain &&
                        std::find(demand.excluded.begin(), demand.excluded.end(), worker) ==
                            demand.excluded.end();
      if (!fits) {
        continue;
      }
      rooms_[it] -= demand.accelerators;
      const bool is_placed = PlaceIn(n, domain, it + 1, rest - 1);
      rooms_[it] += demand.accelerators;
      if (is_placed) {
        return true;
      }
    }
    return false;
  }

  static constexpr int kMaxSteps = 100'000;

  const ClusterState* state_;
  std::vector<int> rooms_;
  std::vector<Demand> demands_;
  int steps_left_ = kMaxSteps;
};

}  // namespace clementineloom::testing_support
