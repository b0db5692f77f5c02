#pragma once

#include <algorithm>
#include <chrono>
#include <string>

#include "clementineloom/workload/placed_run.h"
#include "clementineloom/workload/worker_lease.h"
#include "entry/owner/lease_expiry.h"
#include "entry/owner/owner_core.h"
#include "entry/owner/run_hold.h"

namespace clementineloom::entry {

/// @brief Describes why runs hold room, for the log.
/// Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class RunHolds {
 public:
  /// Precondition: the arguments outlive the object.
  RunHolds(const OwnerCore<Platform, Port>& core, const LeaseExpiry<Platform, Port>& lease_expiry)
      : core_(core), lease_expiry_(lease_expiry) {}

  /// @brief Why a run holds room now. Precondition: it does.
  [[nodiscard]] RunHold Describe(const std::string& worker, const workload::TaskRun& run) const {
    const workload::SteadyTime now = core_.port.Now();
    const workload::PlacedRun& placed = core_.workers.at(worker).runs.at(run);
    RunHold hold;
    hold.contact = ContactOf(worker);
    workload::SteadyTime ended_at = now;
    if (hold.contact != WorkerContact::kAnswering && lease_expiry_.EndOf(worker) > ended_at) {
      ended_at = lease_expiry_.EndOf(worker);
      hold.reason = RunHoldReason::kLease;
    }
    if (const auto late_ends_at = LateStartEndsAt(placed, hold.contact); late_ends_at > ended_at) {
      ended_at = late_ends_at;
      hold.reason = RunHoldReason::kLateStart;
    }
    hold.ends_in_ms = std::chrono::duration_cast<workload::Milliseconds>(ended_at - now).count();
    return hold;
  }

 private:
  [[nodiscard]] WorkerContact ContactOf(const std::string& worker) const {
    const auto link = core_.links.find(worker);
    if (link != core_.links.end() && link->second.failures == 0 &&
        core_.workers.at(worker).is_attached) {
      return WorkerContact::kAnswering;
    }
    return core_.GoneAt(worker) ? WorkerContact::kGone : WorkerContact::kSilent;
  }

  // When a late copy of the run's order, and what it may have started unnoticed, is over.
  [[nodiscard]] workload::SteadyTime LateStartEndsAt(const workload::PlacedRun& run,
                                                     WorkerContact contact) const {
    const auto late_until = run.start_copies.LateUntil();
    const bool is_repeated =
        run.stage == workload::RunStage::kStarting && contact == WorkerContact::kAnswering;
    if (!late_until || is_repeated) {
      return workload::SteadyTime::min();
    }
    return contact == WorkerContact::kSilent
               ? *late_until + workload::WorkerLease::LongestDuration(core_.options.max_lease)
               : *late_until;
  }

  const OwnerCore<Platform, Port>& core_;
  const LeaseExpiry<Platform, Port>& lease_expiry_;
};

}  // namespace clementineloom::entry
