#pragma once

#include <vector>

#include "clementineloom/model/job_id.h"

namespace clementineloom {

/// @brief Cancels jobs; all of them are handled in one pass.
struct JobsCancelled {
  const std::vector<JobId> jobs;

  friend auto operator<=>(const JobsCancelled&, const JobsCancelled&) = default;
};

}  // namespace clementineloom
