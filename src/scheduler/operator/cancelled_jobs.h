#pragma once

#include <compare>
#include <vector>

#include "clementineloom/model/job_id.h"

namespace clementineloom::scheduler {

/// @brief Answer to JobCancel: which of the jobs are cancelled or being stopped.
struct CancelledJobs {
  std::vector<JobId> cancelled;
  /// Unknown, or already ended with another outcome.
  std::vector<JobId> not_cancelled;

  friend auto operator<=>(const CancelledJobs&, const CancelledJobs&) = default;
};

}  // namespace clementineloom::scheduler
