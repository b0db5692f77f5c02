#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "clementineloom/workload/resources.h"
#include "clementineloom/workload/run_stage.h"
#include "clementineloom/workload/start_copies.h"
#include "clementineloom/workload/steady_time.h"
#include "clementineloom/workload/step_spec.h"
#include "clementineloom/workload/task_run.h"

namespace clementineloom::workload {

/// @brief A run that holds room on a worker. An immutable value.
struct PlacedRun {
  TaskRun run;
  Resources reserved;
  RunStage stage = RunStage::kRecording;
  SteadyTime placed_at;
  /// When the worker last confirmed the start or the stop that led to the stage.
  SteadyTime confirmed_at;
  /// Started by an earlier owner, whose late orders the worker refuses once this owner has called.
  bool is_adopted = false;
  /// Until when an order of an earlier owner to start it may arrive; absent if none is outstanding.
  std::optional<SteadyTime> former_order_until;
  /// The orders to start the run that this owner has sent.
  StartCopies start_copies;
  /// When its worker was seen not to have it although an earlier incarnation may have started it;
  /// absent if that was not seen, or the worker has listed the run since.
  std::optional<SteadyTime> missed_at;
  /// Incarnation of the worker, by its start time, whose lists last held the run; 0 before the
  /// first.
  std::int64_t listed_in_incarnation = 0;
  std::uint32_t priority = 0;
  /// Newest progress that the worker reported, or that the run resumed from.
  std::string checkpoint;
  /// When the worker reported the first checkpoint that the run itself has saved; absent before.
  std::optional<SteadyTime> saved_at;
  /// Whether the run fills idle processors, and the latency target of a service task (0 for none);
  /// both decide which other runs it interferes with.
  bool fills_idle_cpu = false;
  std::int64_t tail_target_ms = 0;
  /// The first known progress, and when it was known: 0 at the start of a run that does not resume
  /// from a checkpoint, else the first progress that was reported.
  std::uint32_t first_percent = 0;
  SteadyTime first_percent_at;
  /// Percentage of the work that is done, and when it last rose.
  std::uint32_t progress_percent = 0;
  SteadyTime progressed_at;
  /// Progress at the end of the last span from which the speed of its worker was sampled, and when;
  /// 0 before the first progress.
  std::uint32_t sampled_percent = 0;
  SteadyTime sampled_at;
  /// Share of full speed that the worker lets it work at; absent while that is not known.
  std::optional<std::uint32_t> pace_percent = 100;
  /// Newest figure of the worker: for a service task its tail latency in milliseconds, else the
  /// thousandths of a core in use.
  std::int64_t load_figure = 0;

  friend auto operator<=>(const PlacedRun&, const PlacedRun&) = default;

  /// @brief A run of a task of a step, placed at a given time.
  [[nodiscard]] static PlacedRun Of(TaskRun run, const StepSpec& spec, std::uint32_t priority,
                                    SteadyTime placed_at) {
    PlacedRun placed;
    placed.run = std::move(run);
    placed.reserved = spec.Reserved();
    placed.placed_at = placed_at;
    placed.priority = priority;
    placed.fills_idle_cpu = spec.fills_idle_cpu;
    placed.tail_target_ms = spec.tail_target_ms;
    return placed;
  }
};

}  // namespace clementineloom::workload
