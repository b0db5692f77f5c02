#pragma once

#include <compare>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "clementineloom/workload/detail/objective_standing.h"
#include "clementineloom/workload/job_entry.h"
#include "clementineloom/workload/task_id.h"

namespace clementineloom::workload::detail {

/// @brief The tasks of one step that may start now.
struct StartCandidate {
  const JobEntry* job = nullptr;
  StepId step;
  std::vector<std::uint32_t> task_indexes;
  /// Unix time from which the tasks may start; waits and their limits count from it.
  std::int64_t due_at_ms = 0;
  /// Urgent, and its team stays within its guarantee with it.
  bool is_guaranteed = false;
  /// Guaranteed, and it has waited long enough to go before all other steps, and to have urgent
  /// runs beyond guarantees stopped for it.
  bool may_reclaim = false;
  /// It has waited for so long beside free room that it no longer waits for a rack.
  bool takes_any_rack = false;
  /// It has waited for so long beside idle accelerators that it takes those kept for urgent work.
  bool takes_reserved_room = false;
  /// Its team submitted its job beyond the team's rate.
  bool is_beyond_rate = false;
  /// The least speed of a worker on which its job can still meet its objective, by its estimate; 0
  /// without an objective, and never above that of most workers.
  double min_speed = 0;
  /// It waits for a worker of that speed.
  bool avoids_slow_workers = false;
  /// Kinds of tasks that it slows or that slow it.
  std::set<std::string> disturbing_kinds = {};
  /// What its job can still reach.
  ObjectiveStanding standing = ObjectiveStanding::kReachable;

  [[nodiscard]] const StepSpec& spec() const { return job->submission->steps[step.step]; }
  [[nodiscard]] std::uint32_t priority() const { return job->submission->queue.priority; }
  /// @brief What its tasks need together.
  [[nodiscard]] std::int64_t Accelerators() const {
    return static_cast<std::int64_t>(task_indexes.size()) * spec().per_task.accelerators;
  }
};

}  // namespace clementineloom::workload::detail
