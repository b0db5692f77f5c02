#pragma once

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/workload/drain_move.h"
#include "codec/task_name.h"
#include "entry/owner/owner_core.h"
#include "entry/owner/run_stops.h"

namespace clementineloom::entry {

/// @brief Stops runs on draining workers in time for their tasks to continue on other workers.
/// Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class DrainMoves {
 public:
  DrainMoves(OwnerCore<Platform, Port>& core, RunStops<Platform, Port>& stops)
      : core_(core), stops_(stops) {}

  /// @brief Records whether a worker is draining, and when it will leave.
  void OnWorker(const workload::WorkerInfo& info) {
    workload::PoolWorker& worker = core_.workers[info.id];
    if (info.is_draining) {
      worker.leaves_at = core_.port.Now() + workload::Milliseconds(info.remaining_ms);
    } else {
      worker.leaves_at.reset();
    }
  }

  /// @brief Stops the runs that have to stop before the next check.
  /// @param until_next time until the next check
  void Check(workload::Milliseconds until_next) {
    std::vector<std::pair<std::string, workload::TaskRun>> moves;
    for (const auto& [id, worker] : core_.workers) {
      if (!worker.leaves_at || !worker.is_attached) {
        continue;
      }
      for (const auto& [run, placed] : worker.runs) {
        if (IsDue(placed, *worker.leaves_at, until_next)) {
          moves.emplace_back(id, run);
        }
      }
    }
    for (const auto& [worker, run] : moves) {
      Move(worker, run);
    }
  }

 private:
  bool IsDue(const workload::PlacedRun& placed, workload::SteadyTime leaves_at,
             workload::Milliseconds until_next) const {
    const workload::StepSpec* spec = core_.OpenStepOf(placed);
    if (spec == nullptr) {
      return false;
    }
    const auto stop_at = workload::DrainStopAt(*spec, placed, core_.port.Now(),
                                               {leaves_at, core_.options.stop_timeout});
    return stop_at && *stop_at <= core_.port.Now() + until_next;
  }

  void Move(const std::string& worker, const workload::TaskRun& run) {
    const auto time_left = std::chrono::duration_cast<workload::Milliseconds>(
        *core_.workers[worker].leaves_at - core_.port.Now());
    logging::LogEvent(logging::LogLevel::kInfo, "run_moved",
                      {{"task", codec::TaskName(run.task)},
                       {"run", run.run},
                       {"worker", worker},
                       {"worker_leaves_in_ms", time_left.count()}});
    stops_.StopEarly(worker, run, "moved");
  }

  OwnerCore<Platform, Port>& core_;
  RunStops<Platform, Port>& stops_;
};

}  // namespace clementineloom::entry
