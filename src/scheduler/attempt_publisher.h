#pragma once

#include <set>
#include <vector>

#include "clementineloom/concurrency/bounded_ring.h"
#include "clementineloom/state/cluster_state.h"
#include "scheduler/driver_event.h"

namespace clementineloom::scheduler {

/// @brief Sends attempts that changed to the task driver, as far as its ring has room.
///
/// For an attempt that does not fit only the job's id is kept, and its newest form is sent later,
/// so that memory does not grow with the number of changes. Thread safety: none; the decision duty
/// owns it.
class AttemptPublisher {
 public:
  explicit AttemptPublisher(BoundedRing<DriverEvent>& driver) : driver_(driver) {}

  void MarkChanged(const std::vector<JobId>& jobs) { changed_.insert(jobs.begin(), jobs.end()); }

  /// @brief Marks every attempt of the state and every one that was sent to the driver.
  void MarkAllChanged(const ClusterState& state);

  void Flush(const ClusterState& state);

 private:
  BoundedRing<DriverEvent>& driver_;
  std::set<JobId> changed_;
  /// Jobs whose attempts the driver holds.
  std::set<JobId> published_;
};

}  // namespace clementineloom::scheduler
