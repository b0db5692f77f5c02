#pragma once

#include <compare>
#include <string>

#include "clementineloom/model/job_spec.h"

namespace clementineloom::scheduler {

/// @brief Request to accept a job; a repeat under the same key returns the first job.
struct JobSubmit {
  std::string key;
  JobSpec spec;

  friend auto operator<=>(const JobSubmit&, const JobSubmit&) = default;
};

}  // namespace clementineloom::scheduler
