#pragma once

#include <cstdint>

#include "clementineloom/model/job_id.h"

namespace clementineloom {

/// @brief Every worker of the gang confirmed that its task is running.
struct JobStarted {
  const JobId job;
  const std::uint32_t attempt = 1;

  friend auto operator<=>(const JobStarted&, const JobStarted&) = default;
};

}  // namespace clementineloom
