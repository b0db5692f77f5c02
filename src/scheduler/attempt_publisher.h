#pragma once

#include <set>
#include <vector>

#include "clementineloom/concurrency/bounded_ring.h"
#include "clementineloom/state/cluster_state.h"
#include "scheduler/driver_event.h"

namespace clementineloom::scheduler {

/// @brief Tells the task driver about attempts that changed, as far as its ring has room.
///
/// What does not fit is kept as a job's id only and told later in its newest form, so that nothing
/// grows with the number of changes. Thread safety: none; the decision duty owns it.
class AttemptPublisher {
 public:
  explicit AttemptPublisher(BoundedRing<DriverEvent>& driver) : driver_(driver) {}

  void Touch(const std::vector<JobId>& jobs) { touched_.insert(jobs.begin(), jobs.end()); }

  /// @brief Marks every attempt of the state and every one that the driver was told of.
  void TouchAll(const ClusterState& state);

  void Flush(const ClusterState& state);

 private:
  BoundedRing<DriverEvent>& driver_;
  std::set<JobId> touched_;
  /// Jobs whose attempts the driver holds.
  std::set<JobId> told_;
};

}  // namespace clementineloom::scheduler
