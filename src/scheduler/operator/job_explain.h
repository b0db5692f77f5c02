#pragma once

#include <compare>

#include "clementineloom/model/job_id.h"

namespace clementineloom::scheduler {

/// @brief Request for the reason why a job stands where it does.
struct JobExplain {
  JobId job;

  friend auto operator<=>(const JobExplain&, const JobExplain&) = default;
};

}  // namespace clementineloom::scheduler
