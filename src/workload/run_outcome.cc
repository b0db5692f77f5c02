#include "clementineloom/workload/run_outcome.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace clementineloom::workload {
namespace {

// The records of a job's tasks are no longer needed once the job has ended.
void DropTasks(const std::string& id, const JobEntry& job, std::vector<WorkloadRecord>& records) {
  for (const auto& [place, row] : job.tasks) {
    for (std::uint32_t index = 0; index < row.size(); ++index) {
      if (row[index] != TaskRecord{}) {
        records.push_back(TaskSet{{{id, place.first, place.second}, index}, std::nullopt});
      }
    }
  }
}

void EndJob(const std::string& id, const JobEntry& job, JobState state, RunOutcome& outcome) {
  outcome.ended_job = state;
  outcome.records.clear();
  outcome.records.push_back(JobEndSet{id, state});
  DropTasks(id, job, outcome.records);
}

// Failed runs of a task, or of its gang, before the given run. A member that has ended in the run
// may count it already.
std::uint32_t FailedRunsBefore(const JobEntry& job, const TaskRun& run, const StepSpec& spec) {
  if (!spec.is_gang) {
    return job.Task(run.task).failures;
  }
  std::uint32_t count = 0;
  for (std::uint32_t index = 0; index < spec.task_count; ++index) {
    const TaskRecord& record = job.Task({run.task.step, index});
    const bool has_ended = record.phase == TaskPhase::kWaiting && record.run == run.run;
    count = has_ended ? count : std::max(count, record.failures);
  }
  return count;
}

// Whether every task is done but those of one step from first to last - 1.
bool AreOthersDone(const JobEntry& job, const StepId& step, std::uint32_t first,
                   std::uint32_t last) {
  const JobSubmission& submission = *job.submission;
  for (std::uint32_t occurrence = 0; occurrence < submission.RunCount(); ++occurrence) {
    for (std::uint32_t it = 0; it < submission.steps.size(); ++it) {
      const bool is_same_step = occurrence == step.occurrence && it == step.step;
      if (!is_same_step && !job.IsStepDone(occurrence, it)) {
        return false;
      }
    }
  }
  for (std::uint32_t index = 0; index < submission.steps[step.step].task_count; ++index) {
    const bool is_ending = index >= first && index < last;
    if (!is_ending && job.Task({step, index}).phase != TaskPhase::kDone) {
      return false;
    }
  }
  return true;
}

RunOutcome CompleteTask(const JobEntry& job, const TaskRun& run, const StepSpec& spec) {
  RunOutcome outcome;
  // The end of one member counts for the whole gang.
  const std::uint32_t first = spec.is_gang ? 0 : run.task.index;
  const std::uint32_t last = spec.is_gang ? spec.task_count : run.task.index + 1;
  if (AreOthersDone(job, run.task.step, first, last)) {
    EndJob(run.task.step.job, job, JobState::kCompleted, outcome);
    return outcome;
  }
  for (std::uint32_t index = first; index < last; ++index) {
    const TaskId task{run.task.step, index};
    TaskRecord record = job.Task(task);
    record.phase = TaskPhase::kDone;
    record.checkpoint.clear();
    outcome.records.push_back(TaskSet{task, std::move(record)});
  }
  return outcome;
}

RunOutcome RequeueTask(const JobEntry& job, const TaskRun& run, const StepSpec& spec,
                       EndReason reason, const std::string& checkpoint) {
  RunOutcome outcome;
  TaskRecord record = job.Task(run.task);
  record.phase = TaskPhase::kWaiting;
  if (!checkpoint.empty()) {
    record.checkpoint = checkpoint;
  }
  if (reason == EndReason::kFailed) {
    record.failures = FailedRunsBefore(job, run, spec) + 1;
    outcome.failures = record.failures;
  }
  outcome.breaks_gang = spec.is_gang;
  outcome.records.push_back(TaskSet{run.task, std::move(record)});
  if (reason == EndReason::kFailed && !spec.runs_until_cancelled &&
      outcome.failures >= job.submission->queue.max_attempts) {
    EndJob(run.task.step.job, job, JobState::kFailed, outcome);
  }
  return outcome;
}

// Whether a run that is not the task's last recorded one may have completed the task. Its start may
// have been recorded by an owner whose record was lost, or the run was given up too early; a run
// that a later one has replaced does not count.
bool MayCompleteUnrecorded(const TaskRecord& record, const TaskRun& run) {
  switch (record.phase) {
    case TaskPhase::kWaiting:
      return true;
    case TaskPhase::kPlaced:
      return run.run >= record.run;
    case TaskPhase::kDone:
      return false;
  }
  return false;
}

}  // namespace

RunOutcome OutcomeOf(const JobTable& jobs, const std::string& worker, const TaskRun& run,
                     EndReason reason, const std::string& checkpoint) {
  const StepSpec* spec = jobs.FindStep(run.task.step);
  if (spec == nullptr) {
    return {};
  }
  const JobEntry* job = jobs.Find(run.task.step.job);
  const TaskRecord& record = job->Task(run.task);
  const bool is_done = reason == EndReason::kDone && !spec->runs_until_cancelled;
  if (!record.IsPlacedAs(run.run, worker)) {
    const bool counts = is_done && job->IsOpen() && MayCompleteUnrecorded(record, run);
    return counts ? CompleteTask(*job, run, *spec) : RunOutcome{};
  }
  if (job->is_cancelled || job->end) {
    RunOutcome outcome;
    outcome.records.push_back(TaskSet{run.task, std::nullopt});
    return outcome;
  }
  if (is_done) {
    return CompleteTask(*job, run, *spec);
  }
  return RequeueTask(*job, run, *spec, reason, checkpoint);
}

}  // namespace clementineloom::workload
