#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "clementineloom/workload/task_phase.h"

namespace clementineloom::workload {

/// @brief What is stored of a task: enough for another instance to take it over. An immutable
/// value.
struct TaskRecord {
  TaskPhase phase = TaskPhase::kWaiting;
  /// Number of the last start, 0 before the first.
  std::uint64_t run = 0;
  /// Worker of the last start.
  std::string worker;
  /// Runs that ended as failed. For the member of a gang: failed runs of the gang when the member's
  /// last run began, and that run, if the member failed in it.
  std::uint32_t failures = 0;
  /// Progress from which the next run resumes; empty for none.
  std::string checkpoint;

  friend auto operator<=>(const TaskRecord&, const TaskRecord&) = default;

  /// @brief Whether a start is the task's last one and its run has not ended.
  /// @param number of the start
  [[nodiscard]] bool IsPlacedAs(std::uint64_t number, std::string_view on_worker) const {
    return phase == TaskPhase::kPlaced && run == number && worker == on_worker;
  }
};

}  // namespace clementineloom::workload
