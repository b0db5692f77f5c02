#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "clementineloom/decision/detail/victims.h"
#include "clementineloom/decision/guarantee_packing.h"
#include "clementineloom/decision/reclaim_plan.h"
#include "clementineloom/model/instant.h"
#include "clementineloom/model/placement.h"
#include "clementineloom/state/cluster_state.h"

namespace clementineloom {

/// @brief Places guaranteed jobs in their team's cells, which are bound to workers dynamically, and
/// borrowing jobs outside idle cells where possible.
///
/// A guaranteed job may use any workers as long as every idle guaranteed shape still fits
/// elsewhere. Small jobs of a team share a cell. Borrowing jobs get the best fit outside all cells,
/// and use idle cells only if nothing else fits. Thread safety: none; private to the decision
/// thread.
class CellPlacer {
 public:
  /// @brief Places one job in a pass of its own, as if no other job had been decided.
  /// Precondition: the job is waiting.
  [[nodiscard]] std::optional<Placement> Place(const ClusterState& state, JobId job, Instant now);

  /// @brief Starts a pass: reads the changes of the state and drops the allocations of the previous
  /// pass.
  void BeginPass(const ClusterState& state, Instant now);
  /// @brief Places a job in its team's cells on capacity that this pass has not allocated yet, and
  /// allocates it.
  /// Precondition: the job is waiting and was not placed in this pass.
  [[nodiscard]] std::optional<Placement> PlaceInCell(const ClusterState& state, JobId job);
  /// @brief Like PlaceInCell, but on borrowed capacity, which the owner of a guarantee can reclaim.
  [[nodiscard]] std::optional<Placement> PlaceBorrowing(const ClusterState& state, JobId job);
  /// @brief Chooses the cheapest borrowed jobs to preempt so that a job can use its team's
  /// guarantee, and allocates the capacity that they free. Nothing if the team has no idle shape
  /// for the job.
  /// Precondition: PlaceInCell found no place for the job in this pass.
  [[nodiscard]] std::optional<ReclaimPlan> PlanReclaim(const ClusterState& state, JobId job);
  /// @brief Withholds accelerators from other jobs for the rest of the pass; a negative number
  /// returns them.
  void KeepFree(const ClusterState& state, WorkerId worker, std::int32_t accelerators) {
    packing_.KeepFree(state, worker, accelerators);
  }

  /// @brief Whether a new job of this shape fits into an idle part of the team's guarantees.
  [[nodiscard]] bool HasIdleCell(const ClusterState& state, TeamId team,
                                 const GangShape& shape) const;
  /// @brief Whether the job could run if all workers, including lost ones, were idle and in
  /// service.
  [[nodiscard]] bool CanEverRun(const ClusterState& state, JobId job) const;
  [[nodiscard]] const GuaranteePacking& packing() const { return packing_; }

 private:
  // Limits of the cells and domains tried for one job; trying more costs time and rarely finds a
  // place.
  static constexpr std::size_t kCellsTried = 16;
  static constexpr std::size_t kDomainsTried = 8;
  // A job that leaves accelerators of a gang cell's workers idle blocks the team's gangs, so it
  // borrows at first. After this time it uses the cell, so that borrowers cannot starve its team.
  static constexpr Duration kPartialUseAfter = std::chrono::minutes(5);

  using Workers = std::vector<WorkerId>;

  [[nodiscard]] std::vector<CellKey> CellsFor(const ClusterState& state, const JobEntry& job) const;
  std::optional<Placement> PlaceIn(const ClusterState& state, JobId job, const CellKey& key);
  std::optional<Placement> UseWorkers(const ClusterState& state, JobId job, const CellKey& key,
                                      Workers workers);
  [[nodiscard]] Workers FreeInBinding(const JobEntry& job, const CellKey& key) const;
  [[nodiscard]] Workers FreeInDomain(const ClusterState& state, const JobEntry& job,
                                     const CellKey& key, std::uint32_t domain) const;
  [[nodiscard]] std::vector<std::uint32_t> FreeDomains(const ClusterState& state,
                                                       const JobEntry& job,
                                                       const CellKey& key) const;
  [[nodiscard]] std::vector<Workers> ReclaimSites(const ClusterState& state,
                                                  const CellKey& key) const;

  GuaranteePacking packing_;
  std::set<JobId> stopping_;
  Instant now_;
};

}  // namespace clementineloom
