#pragma once

#include <string>

#include "clementineloom/workload/placed_run.h"
#include "clementineloom/workload/steady_time.h"
#include "entry/owner/owner_core.h"
#include "entry/owner/owner_timing.h"

namespace clementineloom::entry {

/// @brief Decides whether the start of a gang's member may be ordered on a worker that may have
/// restarted since an earlier order.
///
/// The earlier incarnation may have carried that order out, and the gang may be done: the end of
/// any member ends all of them, and the workers of the others may not have been heard since.
/// Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class GangContact {
 public:
  explicit GangContact(OwnerCore<Platform, Port>& core) : core_(core) {}

  /// @brief Whether the gang of a run may be done without this owner knowing.
  ///
  /// It is not if another member was listed as running since the restart, or if the workers of all
  /// other members have answered since: a member that none of them lists has not ended there.
  [[nodiscard]] bool MayBeDone(const std::string& worker, const workload::PlacedRun& run) const {
    const workload::StepSpec* spec = core_.jobs.FindStep(run.run.task.step);
    if (!run.missed_at || spec == nullptr || !spec->is_gang) {
      return false;
    }
    // By then the earlier incarnation had ended: a restart takes longer.
    const workload::SteadyTime since = *run.missed_at - OwnerTiming::kIncarnationKnownFor;
    bool are_all_heard = true;
    for (const auto& [id, other] : core_.workers) {
      for (const auto& [member, placed] : other.runs) {
        if (id == worker || member.task.step != run.run.task.step || member.run != run.run.run) {
          continue;
        }
        const bool is_heard = core_.links[id].last_answered_sent_at >= since;
        if (is_heard && IsListedAsRunning(placed)) {
          return false;
        }
        are_all_heard = are_all_heard && is_heard;
      }
    }
    return !are_all_heard;
  }

 private:
  static bool IsListedAsRunning(const workload::PlacedRun& run) {
    return run.stage == workload::RunStage::kRunning && run.listed_in_incarnation != 0;
  }

  OwnerCore<Platform, Port>& core_;
};

}  // namespace clementineloom::entry
