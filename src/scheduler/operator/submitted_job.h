#pragma once

#include <compare>

#include "clementineloom/model/job_id.h"

namespace clementineloom::scheduler {

/// @brief Answer to JobSubmit: the job accepted now or before under the same key.
struct SubmittedJob {
  JobId job;

  friend auto operator<=>(const SubmittedJob&, const SubmittedJob&) = default;
};

}  // namespace clementineloom::scheduler
