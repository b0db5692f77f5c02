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

/// @brief A place for every guaranteed shape that is not in use, found by moving idle shapes only.
///
/// The places are a witness of the invariant: all of them together fit into what guaranteed jobs
/// leave, so that preempting borrowed work makes room for every team at once. The search takes the
/// largest shape first, moves other idle shapes out of the way, and as a last step packs all of
/// them again with backtracking. Its effort is bounded, so that a shape may be reported at risk
/// although a packing exists; it is never reported safe without one.
///
/// Follows one state through its journal; the cost of Follow grows with the changes, not with the
/// workers. Binding as in HiveD, "HiveD: Sharing a GPU Cluster for Deep Learning with Guarantees",
/// OSDI 2020. Thread safety: none; private to the decision thread.
class GuaranteePacking {
 public:
  /// @brief Takes in what changed in the state and drops what Use and KeepFree took.
  void Follow(const ClusterState& state);

  /// @brief Takes a placement as accepted until the next Follow, if the invariant stays true.
  /// Precondition: the placement is valid for the state and the placements taken before, but for
  /// accelerators that borrowed jobs still have to leave.
  /// @return false, and nothing changed, if some idle shape would lose its place
  bool Use(const ClusterState& state, const Placement& placement);
  /// @brief Keeps accelerators from other jobs until the next Follow, without use of a cell.
  void KeepFree(const ClusterState& state, WorkerId worker, std::int32_t accelerators);

  /// @brief Guarantees with shapes that have no place, by team and guarantee.
  [[nodiscard]] std::vector<GuaranteeRisk> Risks(const ClusterState& state) const;
  [[nodiscard]] bool IsAtRisk(const CellKey& cell) const { return unbound_.contains(cell); }
  [[nodiscard]] const detail::CellBinding& cell(const CellKey& key) const {
    return cells_[key.team.value()][key.guarantee][key.instance];
  }
  /// @brief The cells of a team by guarantee and instance. Precondition: the team was followed.
  [[nodiscard]] const std::vector<std::vector<detail::CellBinding>>& cells(TeamId team) const {
    return cells_[team.value()];
  }
  [[nodiscard]] const detail::WorkerRooms& rooms() const { return rooms_; }
  /// @brief What has to be found for the part of a cell that is not in use; 0 workers for none.
  [[nodiscard]] detail::GangDemand IdleDemand(const CellKey& key) const;
  /// @brief The domain in which the rest of a cell in use has to lie.
  [[nodiscard]] std::optional<std::uint32_t> FixedDomain(const ClusterState& state,
                                                         const CellKey& key) const;

 private:
  // Limits of the search. A repair at 32,000 workers looks at few domains; on the clusters of
  // today, with about 50 workers, these numbers let the search try all of them.
  static constexpr int kDisplacementDepth = 2;
  static constexpr std::size_t kDomainsTried = 64;
  static constexpr int kRepairSteps = 256;
  static constexpr int kUseSteps = 16;
  // More than the cells of a cluster of today. With more, only new guarantees and new or lost
  // workers pack all of them again, because that takes time in proportion to the cells.
  static constexpr std::size_t kCellsRepackedAlways = 512;
  static constexpr std::size_t kChoicesTried = 20;
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

  /// Binds the idle part near the preferred workers, else in any slack.
  bool Fill(const ClusterState& state, const CellKey& key, const Workers& preferred);
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
  /// Takes the placement out of its cell. Returns the idle cells that lost their place.
  std::vector<CellKey> TakeFromCell(const ClusterState& state, const CellKey& key,
                                    const Placement& placement);
  CellKey UnbindSmallest(const ClusterState& state, WorkerId worker);
  /// Unbinds the cells on a worker that came back in another rack.
  void UnbindMoved(const ClusterState& state, WorkerId worker);
  void UnbindOverbooked(const ClusterState& state, WorkerId worker, std::vector<CellKey>& dirty);
  /// Sets of workers of a domain that can hold the idle part.
  [[nodiscard]] std::vector<Workers> Choices(const ClusterState& state, const CellKey& key,
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
  /// By data centre, as last read.
  std::vector<bool> in_service_;
  std::vector<WorkerId> touched_workers_;
  std::set<CellKey> touched_cells_;

  /// Former places of idle parts, for Rollback.
  std::vector<std::pair<CellKey, detail::IdlePart>> undo_;
  int steps_left_ = 0;
  /// What changed since the last search for unbound cells: workers or guarantees, or the cells.
  bool has_new_layout_ = false;
  bool has_new_demand_ = false;
};

}  // namespace clementineloom
