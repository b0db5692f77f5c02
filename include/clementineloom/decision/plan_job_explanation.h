#pragma once

#include <string>

#include "clementineloom/decision/plan_wait_cause.h"
#include "clementineloom/model/job_id.h"

namespace clementineloom {

/// @brief Why a job waits. An immutable value.
struct JobExplanation {
  const JobId job;
  const PlanWaitCause cause = PlanWaitCause::kNotWaiting;
  /// One sentence for operators and callers.
  const std::string sentence;

  friend auto operator<=>(const JobExplanation&, const JobExplanation&) = default;
};

}  // namespace clementineloom
