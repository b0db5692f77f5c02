#pragma once

#include <compare>
#include <vector>

#include "clementineloom/model/job_id.h"

namespace clementineloom::scheduler {

/// @brief Request to cancel jobs in one pass; jobs that have ended are left as they are.
struct JobCancel {
  std::vector<JobId> jobs;

  friend auto operator<=>(const JobCancel&, const JobCancel&) = default;
};

}  // namespace clementineloom::scheduler
