#pragma once

#include <string>

#include "clementineloom/workload/job_submission.h"
#include "clementineloom/workload/job_table.h"
#include "clementineloom/workload/step_spec.h"
#include "clementineloom/workload/task_run.h"

namespace clementineloom::workload {

/// @brief What tasks that behave alike have in common: their image, or their queue if they name
/// none. Thread safety: a pure function.
[[nodiscard]] inline const std::string& TaskKind(const JobSubmission& submission,
                                                 const StepSpec& step) {
  return step.image.empty() ? submission.queue.name : step.image;
}

/// @brief The kind of a run's task, in the job table; null if its submission is not known.
/// Thread safety: that of the table.
[[nodiscard]] inline const std::string* KindOfRun(const TaskRun& run, const JobTable& jobs) {
  const JobEntry* job = jobs.Find(run.task.step.job);
  const StepSpec* spec = job == nullptr ? nullptr : job->FindStep(run.task.step.step);
  return spec == nullptr ? nullptr : &TaskKind(*job->submission, *spec);
}

}  // namespace clementineloom::workload
