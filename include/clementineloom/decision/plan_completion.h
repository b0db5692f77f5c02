#pragma once

#include "clementineloom/model/instant.h"
#include "clementineloom/model/job_id.h"

namespace clementineloom {

/// @brief When a job is expected to end if it starts at once. An immutable value.
struct PlanCompletion {
  const JobId job;
  const Instant expected_at;

  friend auto operator<=>(const PlanCompletion&, const PlanCompletion&) = default;
};

}  // namespace clementineloom
