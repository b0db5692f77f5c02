#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "clementineloom/decision/detail/worker_rooms.h"
#include "clementineloom/decision/reservation.h"
#include "clementineloom/decision/run_time_estimates.h"
#include "clementineloom/decision/start_times.h"
#include "clementineloom/state/cluster_state.h"

namespace clementineloom {

/// @brief Reserves workers for the oldest waiting jobs that borrow, so that smaller jobs cannot
/// starve them.
///
/// Bound on waiting: a job with a reservation waits at most until all jobs that held its workers
/// when the reservation was made have ended, and then until backfilled jobs have stopped. The bound
/// does not depend on the accuracy of estimates. Urgent and guaranteed jobs go first, and if one of
/// the workers may no longer get work a new reservation is made; the bound then starts over. Thread
/// safety: none.
class Reservations {
 public:
  /// @brief Drops reservations of jobs that no longer wait, and those with a worker that may not
  /// get work.
  void Refresh(const ClusterState& state);
  /// @brief Reserves workers in the domain with the fewest accelerators in use, among the domains
  /// that can hold the job.
  /// @param placed_before placements of this pass, which are not backfill
  void Add(const ClusterState& state, const detail::WorkerRooms& rooms, JobId job,
           const std::vector<Placement>& placed_before);
  void Remove(JobId job) { reservations_.erase(job); }
  void Clear() { reservations_.clear(); }

  [[nodiscard]] const std::map<JobId, Reservation>& all() const { return reservations_; }
  [[nodiscard]] const Reservation* Find(JobId job) const;

  /// @brief Backfilled borrowed jobs to stop, because only backfill keeps a reserved job from its
  /// workers.
  [[nodiscard]] std::vector<JobId> OverrunBackfill(const ClusterState& state) const;
  /// @brief The shortest expected wait among the reserved jobs, from the estimated end of the jobs
  /// that hold their workers; zero if a reserved job can start now, Duration::max() without
  /// reservations.
  [[nodiscard]] Duration ShortestWait(const ClusterState& state, const RunTimeEstimates& estimates,
                                      const StartTimes& start_times, Instant now) const;

 private:
  [[nodiscard]] static std::vector<JobId> JobsOn(const ClusterState& state,
                                                 const Reservation& reservation, bool backfill);

  std::map<JobId, Reservation> reservations_;
};

}  // namespace clementineloom
