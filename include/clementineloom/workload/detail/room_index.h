#pragma once

#include <compare>
#include <cstdint>
#include <set>

#include "clementineloom/workload/detail/start_candidate.h"
#include "clementineloom/workload/detail/worker_room.h"
#include "clementineloom/workload/plan_request.h"

namespace clementineloom::workload::detail {

/// @brief The rooms of all workers, ordered by what is free, so that a task finds the tightest room
/// without a look at the workers that are full. Thread safety: none.
class RoomIndex {
 public:
  /// @brief Adds a room. Precondition: it is not in the index, and stays where it is.
  void Add(WorkerRoom& room) { rooms_.insert(KeyOf(room)); }

  /// @brief Removes a room before its free amount changes. Precondition: it is in the index.
  void Remove(WorkerRoom& room) { rooms_.erase(KeyOf(room)); }

  /// @brief The best worker for one more task of a step, or null.
  /// Complexity: O(log(workers)) and the workers with enough accelerators that do not suit.
  [[nodiscard]] WorkerRoom* Choose(const StartCandidate& step, const PlanRequest& request) const;

 private:
  struct Key {
    std::int64_t accelerators = 0;
    std::int64_t cpu_millicores = 0;
    // Rooms stand in the order of the workers' ids, which decides between equal ones.
    WorkerRoom* room = nullptr;

    friend auto operator<=>(const Key&, const Key&) = default;
  };

  static Key KeyOf(WorkerRoom& room) {
    return {room.free.accelerators, room.free.cpu_millicores, &room};
  }

  std::set<Key> rooms_;
};

}  // namespace clementineloom::workload::detail
