#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "clementineloom/decision/detail/capacity_index.h"
#include "clementineloom/decision/detail/worker_room.h"
#include "clementineloom/state/cluster_state.h"

namespace clementineloom::detail {

/// @brief The WorkerRoom of each worker, and capacity indexes over all of them.
///
/// Thread safety: none; private to the decision thread.
class WorkerRooms {
 public:
  /// @brief Reads all workers anew and drops all reservations.
  void Rebuild(const ClusterState& state);
  /// @brief Reads one worker anew and keeps its reservations.
  /// @return whether the worker's capacity or rack changed
  bool Refresh(const ClusterState& state, WorkerId worker);

  /// @brief Allocates accelerators to a placement decided in this pass; a negative number releases
  /// them. Refresh undoes it.
  void Take(const ClusterState& state, WorkerId worker, std::int32_t accelerators,
            std::int32_t charge);
  void Reserve(const ClusterState& state, WorkerId worker, const CellKey& cell,
               std::int32_t accelerators);
  void Unreserve(const ClusterState& state, WorkerId worker, const CellKey& cell,
                 std::int32_t accelerators);

  [[nodiscard]] const WorkerRoom& room(WorkerId worker) const { return rooms_[worker.value()]; }
  [[nodiscard]] std::size_t size() const { return rooms_.size(); }

  /// @brief Accelerators that no job holds and no idle cell is bound to.
  [[nodiscard]] const CapacityIndex& open() const { return open_; }
  /// @brief Accelerators that no job holds.
  [[nodiscard]] const CapacityIndex& free() const { return free_; }
  /// @brief Accelerators that belong to no cell, borrowed or not.
  [[nodiscard]] const CapacityIndex& slack() const { return slack_; }
  /// @brief Accelerators of all workers, including lost ones and those out of service.
  [[nodiscard]] const CapacityIndex& configured() const { return configured_; }

  /// @brief Accelerators of placeable workers, without those of cells in use.
  [[nodiscard]] std::int64_t total_room() const { return total_room_; }

  /// @brief Workers that have jobs and are lost, leaving, or in a data centre out of service.
  [[nodiscard]] const std::set<WorkerId>& to_vacate() const { return to_vacate_; }

  /// @brief Whether the cells in use and the idle cells need more accelerators than the worker has.
  [[nodiscard]] bool IsOverbooked(WorkerId worker) const;

 private:
  void Read(const ClusterState& state, WorkerId worker);
  void Index(const ClusterState& state, WorkerId worker);

  std::vector<WorkerRoom> rooms_;
  std::int64_t total_room_ = 0;
  std::set<WorkerId> to_vacate_;
  CapacityIndex open_;
  CapacityIndex free_;
  CapacityIndex slack_;
  CapacityIndex configured_;
};

}  // namespace clementineloom::detail
