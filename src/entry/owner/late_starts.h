#pragma once

#include <algorithm>
#include <string>

#include "clementineloom/workload/placed_run.h"
#include "clementineloom/workload/worker_lease.h"
#include "entry/owner/owner_core.h"

namespace clementineloom::entry {

/// @brief Decides how long a run that its worker does not list may still be started by a late copy
/// of its order.
///
/// Were its task started elsewhere before, a worker that has restarted unnoticed would run it a
/// second time. Service tasks and steps that allow duplicates do not wait: the former must not be
/// without a run for that long, the latter may run twice.
/// Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class LateStarts {
 public:
  explicit LateStarts(OwnerCore<Platform, Port>& core) : core_(core) {}

  /// @brief Notes that a worker has answered a poll: orders that it has left without an answer are
  /// late.
  void OnPollAnswered(const std::string& worker) {
    const workload::SteadyTime last_failure_at = core_.links[worker].last_failure_at;
    for (auto& [run, placed] : core_.workers[worker].runs) {
      const workload::StepSpec* spec = core_.jobs.FindStep(run.task.step);
      if (spec != nullptr && !spec->allows_duplicates && !spec->runs_until_cancelled) {
        placed.start_copies.OnPollAnswered(last_failure_at);
      }
    }
  }

  /// @brief Whether a run that its worker does not list may not count as over at a given time.
  [[nodiscard]] bool IsHeld(const workload::PlacedRun& run, workload::SteadyTime at) const {
    return run.start_copies.IsLate(at);
  }

  /// @brief The same for a worker whose lease is over: a late order may have started the run under
  /// the longest lease since the worker last answered a poll or was found gone. Nothing that ran
  /// before lasts beyond either.
  [[nodiscard]] bool IsHeldAfterLease(const std::string& worker,
                                      const workload::PlacedRun& run) const {
    const workload::SteadyTime started_until =
        core_.port.Now() - workload::WorkerLease::LongestDuration(core_.options.max_lease);
    const workload::SteadyTime last_known_at =
        std::max(core_.links.at(worker).last_answered_sent_at,
                 core_.GoneAt(worker).value_or(workload::SteadyTime::min()));
    return IsHeld(run, std::max(started_until, last_known_at));
  }

 private:
  OwnerCore<Platform, Port>& core_;
};

}  // namespace clementineloom::entry
