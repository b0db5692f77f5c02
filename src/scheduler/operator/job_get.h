#pragma once

#include <compare>

#include "clementineloom/model/job_id.h"

namespace clementineloom::scheduler {

/// @brief Request for one job.
struct JobGet {
  JobId job;

  friend auto operator<=>(const JobGet&, const JobGet&) = default;
};

}  // namespace clementineloom::scheduler
