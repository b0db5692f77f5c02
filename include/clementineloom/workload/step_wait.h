#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "clementineloom/workload/resources.h"
#include "clementineloom/workload/run_stage.h"
#include "clementineloom/workload/step_id.h"
#include "clementineloom/workload/task_run.h"
#include "clementineloom/workload/wait_reason.h"
#include "clementineloom/workload/worker_counts.h"

namespace clementineloom::workload {

/// @brief What a step waits for: the reason, the run that keeps its first held task from starting,
/// and the workers by what keeps the other tasks from them. An immutable value.
struct StepWait {
  /// A run that holds room for a task of the step, and where.
  struct HeldRun {
    TaskRun run;
    std::string worker;
    RunStage stage = RunStage::kRecording;

    friend auto operator<=>(const HeldRun&, const HeldRun&) = default;
  };

  StepId step;
  WaitReason reason = WaitReason::kNextPlan;
  /// Time after which it no longer waits for a rack, in ms; 0 where it does not.
  std::int64_t ends_in_ms = 0;
  /// Whether it waits for no better room any more.
  bool is_overdue = false;
  /// Tasks of the step that are not done, and those of them whose runs hold room.
  std::uint32_t open_tasks = 0;
  std::uint32_t held_tasks = 0;
  std::optional<HeldRun> held_run;
  /// What each task needs.
  Resources needed;
  /// Workers of the queue's service.
  WorkerCounts workers;
  /// Urgent tasks for which room is kept.
  std::size_t claims = 0;
  /// Its team, what the team's runs hold, and its quota; only where teams have limits.
  std::string team;
  Resources team_held;
  Resources team_quota;
  /// Accelerators that urgent work of the service is expected to need.
  std::int64_t urgent_forecast = 0;

  friend auto operator<=>(const StepWait&, const StepWait&) = default;
};

}  // namespace clementineloom::workload
