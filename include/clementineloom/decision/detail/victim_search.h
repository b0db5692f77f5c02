#pragma once

#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "clementineloom/decision/detail/victims.h"
#include "clementineloom/decision/detail/worker_rooms.h"
#include "clementineloom/state/cluster_state.h"

namespace clementineloom::detail {

/// @brief Chooses borrowed jobs to preempt so that a gang fits on some of a set of workers.
///
/// On one worker the result is optimal if at most 8 borrowed jobs share the worker. Across several
/// workers the search is greedy: it takes the workers whose victims cost least, then drops every
/// victim that the others make unnecessary. Thread safety: none; lives for one search.
class VictimSearch {
 public:
  /// @param stopping jobs that this pass has already chosen to stop
  VictimSearch(const ClusterState& state, const WorkerRooms& rooms, const std::set<JobId>& stopping)
      : state_(&state), rooms_(&rooms), stopping_(&stopping) {}

  /// @brief Chooses n of the workers and the victims on them.
  /// Precondition: on each of the workers, guaranteed jobs leave at least this many accelerators.
  [[nodiscard]] Victims Choose(const std::vector<WorkerId>& workers, std::size_t n,
                               std::uint32_t accelerators) const;

  /// @brief Cost of preempting a job: its accelerators, weighted by its priority.
  [[nodiscard]] static std::uint64_t CostOf(const JobEntry& job);

 private:
  [[nodiscard]] bool IsStopping(JobId job) const;
  [[nodiscard]] std::int32_t Available(WorkerId worker, const std::set<JobId>& victims) const;
  void MakeRoomOn(WorkerId worker, std::uint32_t accelerators, std::set<JobId>& victims) const;
  /// Adds the cheapest subset of the jobs that frees the needed accelerators.
  void TakeCheapest(const std::vector<std::pair<std::uint64_t, JobId>>& jobs, std::int32_t needed,
                    std::set<JobId>& victims) const;
  [[nodiscard]] std::uint64_t CostOf(const std::set<JobId>& victims) const;
  void Prune(const std::vector<WorkerId>& workers, std::uint32_t accelerators,
             std::set<JobId>& victims) const;

  // A worker with 8 accelerators is shared by at most 8 jobs, so at most 256 subsets are compared.
  static constexpr std::size_t kJobsCompared = 8;

  const ClusterState* state_;
  const WorkerRooms* rooms_;
  const std::set<JobId>* stopping_;
};

}  // namespace clementineloom::detail
