#pragma once

#include <cstdint>

#include "clementineloom/model/instant.h"
#include "clementineloom/model/job_id.h"
#include "clementineloom/model/job_outcome.h"

namespace clementineloom {

/// @brief All workers of the attempt reported its end.
struct JobFinished {
  const JobId job;
  const std::uint32_t attempt = 1;
  const JobOutcome outcome = JobOutcome::kSucceeded;
  const Duration run_time{0};

  friend auto operator<=>(const JobFinished&, const JobFinished&) = default;
};

}  // namespace clementineloom
