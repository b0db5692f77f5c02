#pragma once

#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "clementineloom/decision/detail/victims.h"
#include "clementineloom/decision/detail/worker_rooms.h"
#include "clementineloom/state/cluster_state.h"

namespace clementineloom::detail {

/// @brief Finds the borrowed jobs whose stop makes room on some of a set of workers.
///
/// On one worker the set is the cheapest one, if at most 8 borrowed jobs share it. Over several
/// workers it is greedy: those that are cheapest to clear first; then every victim that the others
/// make unnecessary is dropped. Thread safety: none; lives for one search.
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
  /// Adds the cheapest set of the jobs that frees the accelerators.
  void TakeCheapest(const std::vector<std::pair<std::uint64_t, JobId>>& jobs, std::int32_t needed,
                    std::set<JobId>& victims) const;
  [[nodiscard]] std::uint64_t CostOf(const std::set<JobId>& victims) const;
  void Prune(const std::vector<WorkerId>& workers, std::uint32_t accelerators,
             std::set<JobId>& victims) const;

  // A worker has 8 accelerators today, so that at most 8 jobs share it; 256 sets are compared.
  static constexpr std::size_t kJobsCompared = 8;

  const ClusterState* state_;
  const WorkerRooms* rooms_;
  const std::set<JobId>* stopping_;
};

}  // namespace clementineloom::detail
