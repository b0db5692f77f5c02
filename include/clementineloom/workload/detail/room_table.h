#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/workload/detail/guarantee_table.h"
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
  [[nodiscard]] const std::map<std::string, std::vector<WorkerRoom*>>& racks() const {
    return racks_;
  }

  /// @brief The room of a worker, or null if it takes no runs.
  [[nodiscard]] WorkerRoom* Find(const std::string& worker) const;

  /// @brief Lists the runs that may be stopped for urgent tasks, once for the plan.
  void ListVictims(const GuaranteeTable& guarantees);

  /// @brief Stops a run, and with it the other members of its gang, wherever they run.
  void Stop(WorkerRoom& room, const PlacedRun& run);

 private:
  // Keeps the rooms of some workers of a service for urgent work.
  void Reserve(const std::string& service, std::int64_t accelerators);

  // The members of a gang share step and run number.
  using GangKey = std::pair<StepId, std::uint64_t>;

  const PlanRequest& request_;
  std::vector<WorkerRoom> rooms_;
  std::vector<WorkerRoom*> all_;
  std::map<std::string, std::vector<WorkerRoom*>> racks_;
  std::map<GangKey, std::vector<std::pair<WorkerRoom*, const PlacedRun*>>> gangs_;
  bool has_victims_ = false;
};

}  // namespace clementineloom::workload::detail
