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

/// @brief Keeps room for the oldest waiting jobs that borrow, so that smaller jobs do not overtake
/// them without end.
///
/// Bound on waiting: a job with a reservation waits at most until the last of the jobs that held
/// its workers when the reservation was made has ended, and then until backfilled jobs have
/// stopped, whatever the estimates say. Urgent and guaranteed work goes first, and a change of the
/// workers makes a new reservation; the bound then starts over. Thread safety: none.
class Reservations {
 public:
  /// @brief Drops reservations of jobs that no longer wait, and those with a worker that may not
  /// get work.
  void Refresh(const ClusterState& state);
  /// @brief Reserves the domain with the fewest accelerators in use that can hold the job.
  /// @param placed_before placements of this pass, which are not backfill
  void Add(const ClusterState& state, const detail::WorkerRooms& rooms, JobId job,
           const std::vector<Placement>& placed_before);
  void Remove(JobId job) { reservations_.erase(job); }
  void Clear() { reservations_.clear(); }

  [[nodiscard]] const std::map<JobId, Reservation>& all() const { return reservations_; }
  [[nodiscard]] const Reservation* Find(JobId job) const;

  /// @brief Backfilled borrowed jobs that alone keep a reserved job from its workers.
  [[nodiscard]] std::vector<JobId> OverrunBackfill(const ClusterState& state) const;
  /// @brief How long every reserved job is expected to wait at least, from the estimated end of
  /// the jobs that hold its workers; zero if one of them is ready.
  [[nodiscard]] Duration ShortestWait(const ClusterState& state, const RunTimeEstimates& estimates,
                                      const StartTimes& start_times, Instant now) const;

 private:
  [[nodiscard]] static std::vector<JobId> JobsOn(const ClusterState& state,
                                                 const Reservation& reservation, bool backfill);

  std::map<JobId, Reservation> reservations_;
};

}  // namespace clementineloom
