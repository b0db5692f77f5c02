#pragma once

#include <cstdint>
#include <vector>

#include "clementineloom/decision/detail/bucket_list.h"
#include "clementineloom/decision/detail/gang_demand.h"
#include "clementineloom/state/cluster_state.h"

namespace clementineloom::detail {

/// @brief Index of an accelerator count for each worker, which finds the domains where a gang fits.
///
/// Racks are grouped into buckets by how many of their workers have at least a given count (the
/// level), so that a search visits only the racks it uses and not all workers. Thread safety: none.
class CapacityIndex {
 public:
  /// @brief Resets the count of each worker of the state to 0.
  void Reset(const ClusterState& state);
  /// @brief Sets the count of one worker.
  void Set(const ClusterState& state, WorkerId worker, std::uint32_t accelerators);
  /// @brief The count of one worker; 0 if it was never set.
  [[nodiscard]] std::uint32_t Get(WorkerId worker) const {
    return worker.value() < amounts_.size() ? amounts_[worker.value()] : 0;
  }

  /// @brief Whether a gang fits in some domain.
  [[nodiscard]] bool Fits(const GangDemand& demand) const;
  /// @brief The domains in which the gang fits, tightest first.
  /// @param limit the maximum number of domains to return
  [[nodiscard]] std::vector<std::uint32_t> Domains(const GangDemand& demand,
                                                   std::size_t limit) const;
  /// @brief Workers for the gang in one of these domains, best fit first; fewer if not enough of
  /// them fit.
  [[nodiscard]] std::vector<WorkerId> Collect(const ClusterState& state, const GangDemand& demand,
                                              std::uint32_t domain) const;
  /// @brief Collects workers in the tightest domain; a single worker is taken from the most
  /// fragmented rack among the tightest workers. Empty if the gang fits nowhere.
  [[nodiscard]] std::vector<WorkerId> Find(const ClusterState& state,
                                           const GangDemand& demand) const;

 private:
  /// Racks of a data centre by how many of their workers reach a level.
  struct Level {
    BucketList racks;
    std::uint32_t workers = 0;
  };

  Level& LevelAt(DataCentreId data_centre, std::uint32_t level);
  void Count(const ClusterState& state, WorkerId worker, std::uint32_t level, int change);
  [[nodiscard]] std::vector<std::uint32_t> SingleWorkers(const GangDemand& demand,
                                                         std::size_t limit) const;
  [[nodiscard]] std::vector<std::uint32_t> Racks(const GangDemand& demand, std::size_t limit) const;
  [[nodiscard]] std::vector<std::uint32_t> DataCentres(const GangDemand& demand,
                                                       std::size_t limit) const;
  void CollectFromRack(const ClusterState& state, const GangDemand& demand, RackId rack,
                       std::vector<WorkerId>& gang) const;

  [[nodiscard]] WorkerId InMostFragmentedRack(const std::vector<std::uint32_t>& workers) const;

  // More candidates than a rack has workers, so that both unused and fragmented racks are compared.
  static constexpr std::size_t kWorkersCompared = 32;

  std::vector<std::uint16_t> amounts_;
  /// The rack under which a worker's amount is counted.
  std::vector<RackId> racks_;
  BucketList workers_;
  /// By rack, then by level: workers that reach the level.
  std::vector<std::vector<std::uint16_t>> rack_counts_;
  /// By data centre, then by level.
  std::vector<std::vector<Level>> levels_;
};

}  // namespace clementineloom::detail
