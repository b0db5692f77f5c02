#pragma once

#include <cstdint>

#include "clementineloom/model/job_id.h"

namespace clementineloom {

/// @brief No worker runs the attempt any more; its accelerators are free and the job waits again.
struct JobStopped {
  const JobId job;
  const std::uint32_t attempt = 1;

  friend auto operator<=>(const JobStopped&, const JobStopped&) = default;
};

}  // namespace clementineloom
