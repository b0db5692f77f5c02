#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "clementineloom/decision/cell_key.h"
#include "clementineloom/decision/detail/cell_binding.h"
#include "clementineloom/decision/detail/change_follower.h"
#include "clementineloom/decision/detail/gang_demand.h"
#include "clementineloom/decision/detail/idle_part.h"
#include "clementineloom/decision/detail/worker_rooms.h"
#include "clementineloom/decision/guarantee_risk.h"
#include "clementineloom/model/placement.h"
#include "clementineloom/state/cluster_state.h"

namespace clementineloom {

/// @brief Assigns workers to every idle guaranteed shape; only idle shapes are moved for this.
///
/// The assignment proves the invariant: all idle shapes together fit into the capacity that
/// guaranteed jobs leave, so that preempting borrowed jobs makes every guarantee available at once.
/// The search binds the largest shapes first, displaces other idle shapes if needed, and finally
/// repacks all of them with backtracking. The search is bounded, so a shape may be reported at risk
/// although a packing exists; it is never reported safe without one.
///
/// Follows one state through its journal; the cost of Follow grows with the changes, not with the
/// workers. Cells are bound to workers as in HiveD, "HiveD: Sharing a GPU Cluster for Deep Learning
/// with Guarantees", OSDI 2020. Thread safety: none; private to the decision thread.
class GuaranteePacking {
 public:
  /// @brief Reads the changes of the state and drops the allocations made by Use and KeepFree.
  void Follow(const ClusterState& state);

  /// @brief Treats a placement as accepted until the next Follow, if the invariant still holds.
  /// Precondition: the placement is valid for the state and the placements used before, except for
  /// accelerators that borrowed jobs still have to release.
  /// @return false, without any effect, if an idle shape would no longer fit
  bool Use(const ClusterState& state, const Placement& placement);
  /// @brief Withholds accelerators from other jobs until the next Follow, without using a cell; a
  /// negative number returns them.
  void KeepFree(const ClusterState& state, WorkerId worker, std::int32_t accelerators);

  /// @brief Guarantees with shapes that are bound to no workers, ordered by team and guarantee.
  [[nodiscard]] std::vector<GuaranteeRisk> Risks(const ClusterState& state) const;
  [[nodiscard]] bool IsAtRisk(const CellKey& cell) const { return unbound_.contains(cell); }
  [[nodiscard]] const detail::CellBinding& cell(const CellKey& key) const {
    return cells_[key.team.value()][key.guarantee][key.instance];
  }
  /// @brief The cells of a team by guarantee and instance. Precondition: the last Follow read a
  /// state with this team.
  [[nodiscard]] const std::vector<std::vector<detail::CellBinding>>& cells(TeamId team) const {
    return cells_[team.value()];
  }
  [[nodiscard]] const detail::WorkerRooms& rooms() const { return rooms_; }
  /// @brief The demand of the unused part of a cell; 0 workers if all of it is in use.
  [[nodiscard]] detail::GangDemand IdleDemand(const CellKey& key) const;
  /// @brief The domain to which a cell in use is tied; nothing for an idle cell.
  [[nodiscard]] std::optional<std::uint32_t> FixedDomain(const ClusterState& state,
                                                         const CellKey& key) const;

 private:
  // Limits of the search. With 32,000 workers a repair tries only few of the domains; with about 50
  // workers it tries all of them.
  static constexpr int kDisplacementDepth = 2;
  static constexpr std::size_t kDomainsTried = 64;
  static constexpr int kRepairSteps = 256;
  static constexpr int kUseSteps = 16;
  // Above this number of cells, only changes of guarantees or workers cause a full repack, because
  // its time is proportional to the number of cells. A cluster of about 50 workers has fewer.
  static constexpr std::size_t kCellsRepackedAlways = 512;
  static constexpr std::size_t kCandidateSetsTried = 20;
  static constexpr int kRepackSteps = 20'000;

  using Workers = std::vector<WorkerId>;

  void Rebuild(const ClusterState& state);
  void ReadChanges(const ClusterState& state);
  void ReadDataCentres(const ClusterState& state);
  void ReadConfig(const ClusterState& state);
  void ReadTeam(const ClusterState& state, TeamId team);
  void ReadJob(const ClusterState& state, JobId job);
  void ReadTouchedCells(const ClusterState& state);
  void ReadCell(const ClusterState& state, const CellKey& key);
  void ResetTouched();

  detail::CellBinding& MutableCell(const CellKey& key) {
    return cells_[key.team.value()][key.guarantee][key.instance];
  }
  [[nodiscard]] bool HasCell(const CellKey& key) const;
  [[nodiscard]] std::uint32_t SizeOf(const CellKey& key) const;
  [[nodiscard]] bool IsUsed(const CellKey& key, WorkerId worker) const;

  void SetIdle(const ClusterState& state, const CellKey& key, detail::IdlePart idle);
  void SwapIdle(const ClusterState& state, const CellKey& key, detail::IdlePart& idle);
  void Rollback(const ClusterState& state, std::size_t mark);
  void DropCell(const ClusterState& state, const CellKey& key);

  /// Binds the idle part in the domain of the preferred workers, to these if possible, or else to
  /// any slack.
  bool BindIdlePart(const ClusterState& state, const CellKey& key, const Workers& preferred);
  bool BindInSlack(const ClusterState& state, const CellKey& key);
  bool BindInDomain(const ClusterState& state, const CellKey& key, std::uint32_t domain,
                    const Workers& preferred);
  bool BindByDisplacement(const ClusterState& state, const CellKey& key, int depth);
  bool DisplaceIn(const ClusterState& state, const CellKey& key, std::uint32_t domain, int depth);
  [[nodiscard]] std::vector<std::uint32_t> DisplacementDomains(const ClusterState& state,
                                                               const CellKey& key) const;
  [[nodiscard]] Workers LeastReserved(const ClusterState& state, const CellKey& key,
                                      std::uint32_t domain) const;
  void Repack(const ClusterState& state, bool has_new_layout);
  bool RepackFrom(const ClusterState& state, const std::vector<CellKey>& keys, std::size_t n);
  [[nodiscard]] std::int32_t ChargeOf(const ClusterState& state, const CellKey& key,
                                      const Placement& placement) const;
  /// Allocates the placement from its cell. Returns the idle cells that are no longer bound.
  std::vector<CellKey> TakeFromCell(const ClusterState& state, const CellKey& key,
                                    const Placement& placement);
  CellKey UnbindSmallest(const ClusterState& state, WorkerId worker);
  /// Unbinds the cells of a worker that was registered again in another rack.
  void UnbindMoved(const ClusterState& state, WorkerId worker);
  void UnbindOverbooked(const ClusterState& state, WorkerId worker,
                        std::vector<CellKey>& displaced);
  /// Sets of workers of a domain to which the idle part can be bound.
  [[nodiscard]] std::vector<Workers> CandidateWorkerSets(const ClusterState& state,
                                                         const CellKey& key,
                                                         std::uint32_t domain) const;
  void SortBySize(std::vector<CellKey>& keys) const;
  bool Bind(const ClusterState& state, const CellKey& key, int depth);
  bool BindEach(const ClusterState& state, std::vector<CellKey> keys, int depth);
  void BindUnbound(const ClusterState& state);

  detail::WorkerRooms rooms_;
  /// By team, guarantee, instance.
  std::vector<std::vector<std::vector<detail::CellBinding>>> cells_;
  std::set<CellKey> unbound_;
  std::unordered_map<JobId, CellKey> cell_of_job_;

  detail::ChangeFollower follower_;
  /// By data centre, as of the last read.
  std::vector<bool> in_service_;
  std::vector<WorkerId> touched_workers_;
  std::set<CellKey> touched_cells_;

  /// Previous bindings of idle parts, for Rollback.
  std::vector<std::pair<CellKey, detail::IdlePart>> undo_;
  int steps_left_ = 0;
  /// Whether workers or guarantees (layout), or the use of cells (demand), have changed since the
  /// last search for unbound cells.
  bool has_new_layout_ = false;
  bool has_new_demand_ = false;
};

}  // namespace clementineloom
