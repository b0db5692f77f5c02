#pragma once

#include <compare>
#include <cstdint>

#include "clementineloom/model/fencing_token.h"
#include "clementineloom/model/job_id.h"

namespace clementineloom::platform {

/// @brief Identifies one attempt of a job at a worker. An immutable value.
///
/// Commands of the worker protocol are idempotent by the whole key. A worker refuses a token that
/// is older than the newest one that it has seen for the job.
struct TaskKey {
  JobId job;
  std::uint32_t attempt = 1;
  FencingToken token;

  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
};

}  // namespace clementineloom::platform
