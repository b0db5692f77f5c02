#pragma once

#include <cstdint>
#include <vector>

#include "clementineloom/model/job_id.h"
#include "clementineloom/model/worker_id.h"

namespace clementineloom::detail {

/// @brief Workers chosen for a gang, the jobs to preempt there, and the cost of that.
struct Victims {
  std::vector<WorkerId> workers;
  std::vector<JobId> jobs;
  std::uint64_t cost = 0;

  friend auto operator<=>(const Victims&, const Victims&) = default;
};

}  // namespace clementineloom::detail
