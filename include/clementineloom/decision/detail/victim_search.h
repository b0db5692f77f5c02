#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "clementineloom/decision/detail/victims.h"
#include "clementineloom/decision/detail/worker_rooms.h"
#include "clementineloom/state/cluster_state.h"

namespace clementineloom::detail {

/// @brief Finds the borrowed jobs whose stop makes room on some of a set of workers.
///
/// Greedy: the workers that are cheapest to clear, and on each the cheapest jobs; then every victim
/// that the others make unnecessary is dropped. Thread safety: none; lives for one search.
class VictimSearch {
 public:
  /// @param stopping jobs that this pass has already chosen to stop
  VictimSearch(const ClusterState& state, const WorkerRooms& rooms, const std::set<JobId>& stopping)
      : state_(&state), rooms_(&rooms), stopping_(&stopping) {}

  /// @brief Chooses n of the workers and the victims on them.
  /// Precondition: guaranteed jobs leave the accelerators on each of the workers.
  [[nodiscard]] Victims Choose(const std::vector<WorkerId>& workers, std::size_t n,
                               std::uint32_t accelerators) const;

  /// @brief What the stop of a job costs: its accelerators, weighted by its priority.
  [[nodiscard]] static std::uint64_t CostOf(const JobEntry& job);

 private:
  [[nodiscard]] bool IsStopping(JobId job) const;
  [[nodiscard]] std::int32_t Available(WorkerId worker, const std::set<JobId>& victims) const;
  void Clear(WorkerId worker, std::uint32_t accelerators, std::set<JobId>& victims) const;
  [[nodiscard]] std::uint64_t CostOf(const std::set<JobId>& victims) const;
  void Prune(const std::vector<WorkerId>& workers, std::uint32_t accelerators,
             std::set<JobId>& victims) const;

  const ClusterState* state_;
  const WorkerRooms* rooms_;
  const std::set<JobId>* stopping_;
};

}  // namespace clementineloom::detail
