#pragma once

#include <compare>

#include "clementineloom/model/job_id.h"

namespace clementineloom::scheduler {

/// @brief Request for the reason of a job's current phase.
struct JobExplain {
  JobId job;

  friend auto operator<=>(const JobExplain&, const JobExplain&) = default;
};

}  // namespace clementineloom::scheduler
