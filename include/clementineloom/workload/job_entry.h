#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "clementineloom/workload/job_state.h"
#include "clementineloom/workload/job_submission.h"
#include "clementineloom/workload/step_id.h"
#include "clementineloom/workload/task_id.h"
#include "clementineloom/workload/task_record.h"
#include "clementineloom/workload/worker_info.h"

namespace clementineloom::workload {

/// @brief All that is stored of one job. Thread safety: none; use from one thread.
struct JobEntry {
  /// Absent while only later records of the job were read.
  std::optional<JobSubmission> submission;
  bool is_cancelled = false;
  /// Final state, once recorded.
  std::optional<JobState> end;
  /// Whether the store is known to hold the final state; an owner decides it before it is stored.
  bool is_end_stored = false;
  /// Task records by occurrence and step; a missing or short row means tasks that never started.
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::vector<TaskRecord>> tasks;

  /// @brief The record of a task; a task that never started has the initial one.
  [[nodiscard]] const TaskRecord& Task(const TaskId& id) const;

  /// @brief What a step asks for, or null if the submission is not known or has no such step.
  [[nodiscard]] const StepSpec* FindStep(std::uint32_t step) const {
    return submission && step < submission->steps.size() ? &submission->steps[step] : nullptr;
  }

  /// @brief Whether a worker has the service and the label that a step requires.
  /// Precondition: submission is set and has the step.
  [[nodiscard]] bool MayRunOn(const WorkerInfo& worker, std::uint32_t step) const;

  /// @brief Number of runs of a task that ended as failed. The members of a gang share it: a run in
  /// which any of them failed counts once.
  [[nodiscard]] std::uint32_t FailedRuns(const TaskId& id) const;

  /// @brief Whether all tasks of a step are done. Precondition: submission is set and has the step.
  [[nodiscard]] bool IsStepDone(std::uint32_t occurrence, std::uint32_t step) const;

  /// @brief Whether all steps that a step depends on are done. Precondition: as for IsStepDone.
  [[nodiscard]] bool AreDependenciesDone(std::uint32_t occurrence, std::uint32_t step) const;

  /// @brief Whether every task of every occurrence is done. Precondition: submission is set.
  [[nodiscard]] bool IsAllDone() const;

  /// @brief Whether a task has ever been started.
  [[nodiscard]] bool HasStarted() const;

  /// @brief Whether the job has ended and a change of owner cannot undo that.
  [[nodiscard]] bool HasEnded() const { return end && is_end_stored; }

  /// @brief State as a caller sees it: the final one only once it is stored.
  [[nodiscard]] JobState State() const;

  /// @brief Whether tasks of it may still have to start.
  [[nodiscard]] bool IsOpen() const { return submission && !is_cancelled && !end; }
};

}  // namespace clementineloom::workload
