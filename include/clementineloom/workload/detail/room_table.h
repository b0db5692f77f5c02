#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/workload/detail/guarantee_table.h"
#include "clementineloom/workload/detail/room_index.h"
#include "clementineloom/workload/detail/team_usage_table.h"
#include "clementineloom/workload/detail/worker_room.h"
#include "clementineloom/workload/plan_request.h"

namespace clementineloom::workload::detail {

/// @brief The rooms of all workers that take runs, by rack. Thread safety: none.
class RoomTable {
 public:
  /// @param request has to outlive the table
  explicit RoomTable(const PlanRequest& request);
  RoomTable(const RoomTable&) = delete;
  RoomTable& operator=(const RoomTable&) = delete;

  /// @brief The rooms on a rack, or all if the rack is empty.
  [[nodiscard]] const std::vector<WorkerRoom*>& On(const std::string& rack) const;
  [[nodiscard]] const std::map<std::string, RackRoom>& racks() const { return racks_; }
  /// @brief The jobs of the runs.
  [[nodiscard]] const JobTable& jobs() const { return request_.jobs; }

  /// @brief Free accelerators of all rooms; those on which more is claimed than is free count as 0.
  [[nodiscard]] std::int64_t free_accelerators() const { return free_accelerators_; }

  /// @brief The room of a worker, or null if it takes no runs.
  [[nodiscard]] WorkerRoom* Find(const std::string& worker) const;

  /// @brief The best worker for one more task of a step, or null.
  [[nodiscard]] WorkerRoom* Choose(const StartCandidate& step) const {
    return index_.Choose(step, request_);
  }

  /// @brief Takes room for a task that starts now, or that starts once there is room.
  void Take(WorkerRoom& room, const StartCandidate& step);

  /// @brief Keeps room for a task from all others, or gives it back with a negative amount.
  void Hold(WorkerRoom& room, const Resources& amount);

  /// @brief The position of a room in the list of all rooms. Precondition: it is one of them.
  [[nodiscard]] std::size_t PositionOf(const WorkerRoom& room) const {
    return static_cast<std::size_t>(&room - rooms_.data());
  }

  /// @brief Lists the runs that may be stopped for urgent tasks, once for the plan.
  void ListVictims(const GuaranteeTable& guarantees, const TeamUsageTable& usage);

  /// @brief Stops a run, and with it the other members of its gang, wherever they run.
  /// @return the rooms that change
  std::vector<WorkerRoom*> Stop(WorkerRoom& room, const PlacedRun& run);

 private:
  // Adds a room to the index and to what is free on its rack, and removes it before it changes.
  void Count(WorkerRoom& room);
  void Discount(WorkerRoom& room);

  // Keeps the rooms of some workers of a service for urgent work.
  void Reserve(const std::string& service, std::int64_t accelerators);

  // The members of a gang share step and run number.
  using GangKey = std::pair<StepId, std::uint64_t>;

  const PlanRequest& request_;
  std::vector<WorkerRoom> rooms_;
  std::vector<WorkerRoom*> all_;
  RoomIndex index_;
  std::map<std::string, RackRoom> racks_;
  std::map<GangKey, std::vector<std::pair<WorkerRoom*, const PlacedRun*>>> gangs_;
  std::int64_t free_accelerators_ = 0;
  bool has_victims_ = false;
};

}  // namespace clementineloom::workload::detail
