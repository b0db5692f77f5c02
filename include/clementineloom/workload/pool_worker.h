#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>

#include "clementineloom/workload/placed_run.h"
#include "clementineloom/workload/steady_time.h"
#include "clementineloom/workload/worker_info.h"

namespace clementineloom::workload {

/// @brief A worker with the runs that hold room on it. Thread safety: none; use from one thread.
struct PoolWorker {
  WorkerInfo info;
  /// Whether the directory lists it now.
  bool is_listed = true;
  /// Whether its runs are known under the present ownership.
  bool is_attached = false;
  /// Earliest time at which the worker leaves; absent unless it drains.
  std::optional<SteadyTime> leaves_at;
  /// No new run before this time: the worker failed runs or did not answer.
  SteadyTime usable_from;
  /// Runs that failed or hung here since the last success.
  std::uint32_t consecutive_failures = 0;
  /// Room held by all runs, those being stopped included.
  Resources used;
  std::map<TaskRun, PlacedRun> runs;

  [[nodiscard]] Resources Free() const { return info.capacity - used; }

  /// @brief Whether the worker is known and does not drain, so that a planned start may still be
  /// ordered.
  [[nodiscard]] bool IsInService() const { return is_listed && is_attached && !info.is_draining; }

  /// @brief Whether new runs may be placed here at a given time.
  [[nodiscard]] bool TakesRuns(SteadyTime now) const { return IsInService() && now >= usable_from; }

  /// @brief Whether service tasks, or tasks that fill idle processors, run here.
  [[nodiscard]] bool HasServiceTasks() const {
    return AnyRun([](const PlacedRun& it) { return it.tail_target_ms > 0; });
  }
  [[nodiscard]] bool HasFillTasks() const {
    return AnyRun([](const PlacedRun& it) { return it.fills_idle_cpu; });
  }

  void Add(PlacedRun run) {
    used = used + run.reserved;
    runs.insert_or_assign(run.run, std::move(run));
  }

  /// @brief Gives the room of a run back. @return whether the run was there.
  bool Remove(const TaskRun& run) {
    const auto it = runs.find(run);
    if (it == runs.end()) {
      return false;
    }
    used = used - it->second.reserved;
    runs.erase(it);
    return true;
  }

  /// @brief Runs of tasks of a step that hold room here.
  [[nodiscard]] std::uint32_t CountOf(const StepId& step) const {
    return static_cast<std::uint32_t>(std::count_if(
        runs.begin(), runs.end(), [&](const auto& it) { return it.first.task.step == step; }));
  }

 private:
  template <class Predicate>
  [[nodiscard]] bool AnyRun(Predicate matches) const {
    return std::any_of(runs.begin(), runs.end(),
                       [&](const auto& it) { return matches(it.second); });
  }
};

}  // namespace clementineloom::workload
