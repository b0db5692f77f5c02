#pragma once

#include <string>

#include "clementineloom/workload/job_submission.h"
#include "clementineloom/workload/step_spec.h"

namespace clementineloom::workload {

/// @brief What tasks that behave alike have in common: their image, or their queue if they name
/// none. Thread safety: a pure function.
[[nodiscard]] inline const std::string& TaskKind(const JobSubmission& submission,
                                                 const StepSpec& step) {
  return step.image.empty() ? submission.queue.name : step.image;
}

}  // namespace clementineloom::workload
