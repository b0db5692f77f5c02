#include "clementineloom/workload/job_entry.h"

#include <algorithm>

#include "clementineloom/workload/task_id.h"

namespace clementineloom::workload {

const TaskRecord& JobEntry::Task(const TaskId& id) const {
  static const TaskRecord never_started;
  const auto row = tasks.find({id.step.occurrence, id.step.step});
  if (row == tasks.end() || id.index >= row->second.size()) {
    return never_started;
  }
  return row->second[id.index];
}

bool JobEntry::MayRunOn(const WorkerInfo& worker, std::uint32_t step) const {
  const std::string& label = submission->steps[step].required_label;
  return worker.service == submission->queue.service && (label.empty() || worker.HasLabel(label));
}

std::uint32_t JobEntry::FailedRuns(const TaskId& id) const {
  const StepSpec* spec = FindStep(id.step.step);
  const auto row = tasks.find({id.step.occurrence, id.step.step});
  if (spec == nullptr || !spec->is_gang || row == tasks.end()) {
    return Task(id).failures;
  }
  std::uint32_t count = 0;
  for (const TaskRecord& it : row->second) {
    count = std::max(count, it.failures);
  }
  return count;
}

bool JobEntry::IsStepDone(std::uint32_t occurrence, std::uint32_t step) const {
  const auto row = tasks.find({occurrence, step});
  const std::uint32_t task_count = submission->steps[step].task_count;
  if (row == tasks.end() || row->second.size() < task_count) {
    return task_count == 0;
  }
  return std::all_of(row->second.begin(), row->second.end(),
                     [](const TaskRecord& it) { return it.phase == TaskPhase::kDone; });
}

bool JobEntry::AreDependenciesDone(std::uint32_t occurrence, std::uint32_t step) const {
  const std::vector<std::uint32_t>& needed = submission->steps[step].depends_on;
  return std::all_of(needed.begin(), needed.end(),
                     [&](std::uint32_t it) { return IsStepDone(occurrence, it); });
}

bool JobEntry::IsAllDone() const {
  for (std::uint32_t occurrence = 0; occurrence < submission->RunCount(); ++occurrence) {
    for (std::uint32_t step = 0; step < submission->steps.size(); ++step) {
      if (!IsStepDone(occurrence, step)) {
        return false;
      }
    }
  }
  return true;
}

bool JobEntry::HasStarted() const {
  return std::any_of(tasks.begin(), tasks.end(), [](const auto& row) {
    return std::any_of(row.second.begin(), row.second.end(),
                       [](const TaskRecord& it) { return it.run > 0; });
  });
}

JobState JobEntry::State() const {
  if (HasEnded()) {
    return *end;
  }
  if (is_cancelled) {
    return JobState::kCancelled;
  }
  // Task records are erased when the end is decided, so HasStarted() alone would report a job
  // whose end is not stored yet as pending.
  return end || HasStarted() ? JobState::kRunning : JobState::kPending;
}

}  // namespace clementineloom::workload
