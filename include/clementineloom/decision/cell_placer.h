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

/// @brief Places guaranteed work in its team's cells, bound dynamically, and other work where it is
/// least in the way.
///
/// A guaranteed job may take any place that leaves a place for every idle guaranteed shape. Small
/// jobs of a team share a cell. Borrowed jobs go to the tightest room outside all cells, and into
/// idle cells only when there is none. Thread safety: none; private to the decision thread.
class CellPlacer {
 public:
  /// @brief Places one job as if no other was decided.
  /// Precondition: the job is waiting.
  [[nodiscard]] std::optional<Placement> Place(const ClusterState& state, JobId job, Instant now);

  /// @brief Starts a pass: takes in the changes of the state, forgets what the last pass took.
  void BeginPass(const ClusterState& state, Instant now);
  /// @brief Places a job in its team's cells beside what this pass has taken, and takes its place.
  /// Precondition: the job is waiting and was not placed in this pass.
  [[nodiscard]] std::optional<Placement> PlaceInCell(const ClusterState& state, JobId job);
  /// @brief Like PlaceInCell with capacity that others can take back.
  [[nodiscard]] std::optional<Placement> PlaceBorrowing(const ClusterState& state, JobId job);
  /// @brief The cheapest borrowed jobs to stop so that a job can use its team's guarantee; takes
  /// the room they leave. None if the team has no idle shape for the job.
  /// Precondition: PlaceInCell found no place for the job in this pass.
  [[nodiscard]] std::optional<ReclaimPlan> PlanReclaim(const ClusterState& state, JobId job);
  /// @brief Keeps accelerators from other jobs for the rest of the pass; less than 0 returns them.
  void KeepFree(const ClusterState& state, WorkerId worker, std::int32_t accelerators) {
    packing_.KeepFree(state, worker, accelerators);
  }

  /// @brief Whether an idle part of the team's guarantees takes a new job of this shape.
  [[nodiscard]] bool HasIdleCell(const ClusterState& state, TeamId team,
                                 const GangShape& shape) const;
  /// @brief Whether the job could run if all workers that are not lost were idle and in service.
  [[nodiscard]] bool CanEverRun(const ClusterState& state, JobId job) const;
  [[nodiscard]] const GuaranteePacking& packing() const { return packing_; }

 private:
  // Cells and domains looked at for one job; more of them cost time and rarely find a place.
  static constexpr std::size_t kCellsTried = 16;
  static constexpr std::size_t kDomainsTried = 8;
  // A job that leaves accelerators of a gang cell's workers idle holds up the team's gangs, so it
  // borrows at first. After this time it uses the cell, so that its team is not kept waiting by
  // borrowers for ever.
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
