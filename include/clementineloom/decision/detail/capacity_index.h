#pragma once

#include <cstdint>
#include <vector>

#include "clementineloom/decision/detail/bucket_list.h"
#include "clementineloom/decision/detail/gang_demand.h"
#include "clementineloom/state/cluster_state.h"

namespace clementineloom::detail {

/// @brief One number of accelerators for each worker, and where gangs fit by these numbers.
///
/// Racks are sorted into buckets by how many of their workers reach each level, so that a search
/// looks at the racks it takes and not at all workers. Thread safety: none.
class CapacityIndex {
 public:
  /// @brief Starts over with 0 for each worker of the state.
  void Reset(const ClusterState& state);
  /// @brief Sets the number of one worker.
  void Set(const ClusterState& state, WorkerId worker, std::uint32_t accelerators);
  /// @brief The number of one worker; 0 for one that was never set.
  [[nodiscard]] std::uint32_t Get(WorkerId worker) const {
    return worker.value() < amounts_.size() ? amounts_[worker.value()] : 0;
  }

  /// @brief Whether a gang fits in some domain.
  [[nodiscard]] bool Fits(const GangDemand& demand) const;
  /// @brief The domains in which the gang fits, tightest first.
  /// @param limit the greatest number of domains to return
  [[nodiscard]] std::vector<std::uint32_t> Domains(const GangDemand& demand,
                                                   std::size_t limit) const;
  /// @brief Workers for the gang in one of these domains, best fit first, or fewer if they end.
  [[nodiscard]] std::vector<WorkerId> Collect(const ClusterState& state, const GangDemand& demand,
                                              std::uint32_t domain) const;
  /// @brief Collect in the first of Domains; empty if the gang fits nowhere.
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

  [[nodiscard]] WorkerId InMostBrokenRack(const std::vector<std::uint32_t>& workers) const;

  // More candidates than a rack has workers, so that whole and broken racks are both seen.
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
