#pragma once

#include <cstdint>

#include "clementineloom/model/job_id.h"

namespace clementineloom::bench {

/// @brief The workers confirm that an attempt runs.
struct StartDue {
  JobId job;
  std::uint32_t attempt = 0;

  friend auto operator<=>(const StartDue&, const StartDue&) = default;
};

}  // namespace clementineloom::bench
