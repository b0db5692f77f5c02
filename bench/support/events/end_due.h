#pragma once

#include <cstdint>

#include "clementineloom/model/job_id.h"

namespace clementineloom::bench {

/// @brief An attempt reaches its end, or fails on the failing worker.
struct EndDue {
  JobId job;
  std::uint32_t attempt = 0;

  friend auto operator<=>(const EndDue&, const EndDue&) = default;
};

}  // namespace clementineloom::bench
