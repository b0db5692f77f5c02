#pragma once

#include <cstdint>

#include "clementineloom/model/job_id.h"

namespace clementineloom::bench {

/// @brief The workers confirm that a stopped attempt no longer runs.
struct StopDue {
  JobId job;
  std::uint32_t attempt = 0;

  friend auto operator<=>(const StopDue&, const StopDue&) = default;
};

}  // namespace clementineloom::bench
