#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "clementineloom/workload/resources.h"

namespace clementineloom::workload {

/// @brief What a step of a job asks for each of its tasks. An immutable value.
struct StepSpec {
  std::uint32_t task_count = 0;
  Resources per_task;
  /// The caller's estimate of a task's run time; often far off.
  std::int64_t estimate_ms = 0;
  /// Numbers of earlier steps whose tasks all have to be done first.
  std::vector<std::uint32_t> depends_on;
  bool saves_checkpoints = false;
  /// The tasks start, run and end together.
  bool is_gang = false;
  /// A gang over more than one rack runs much slower.
  bool prefers_one_rack = false;
  /// Label that a worker has to carry; empty for none.
  std::string required_label;
  /// Rack that holds the data; empty for none.
  std::string data_rack;
  /// Most tasks of an occurrence of this step on one worker; 0 for no limit.
  std::uint32_t max_per_worker = 0;
  bool allows_duplicates = false;
  /// The tasks run until the job is cancelled and are restarted however they end.
  bool runs_until_cancelled = false;
  std::string image;
  /// Bound of the tail of a service task's response times; 0 for none.
  std::int64_t tail_target_ms = 0;
  /// The tasks use processors that others leave idle; no processors are reserved for them.
  bool fills_idle_cpu = false;
  /// Service tasks that may be unavailable at the same time through the scheduler's own actions.
  std::uint32_t max_unavailable = 0;

  friend auto operator<=>(const StepSpec&, const StepSpec&) = default;

  /// @brief What a task reserves on its worker.
  [[nodiscard]] Resources Reserved() const {
    return fills_idle_cpu ? Resources{0, per_task.memory_mb, per_task.accelerators} : per_task;
  }
};

}  // namespace clementineloom::workload
