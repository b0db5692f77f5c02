#pragma once

#include <utility>

#include "support/policy.h"
#include "support/run_world.h"

namespace clementineloom::bench {

/// @brief Runs a policy over a workload under virtual time.
template <Policy P>
[[nodiscard]] RunFigures RunPolicy(const Deployment& deployment, const Workload& workload,
                                   GuaranteeAccounting accounting, P policy) {
  RunWorld world(deployment, workload, accounting);
  while (world.Advance()) {
    // A policy may decide in several steps; each step sees the effect of the previous one.
    bool has_progress = true;
    while (has_progress) {
      has_progress = world.Append(policy.Decide(world.state(), world.now()));
    }
    world.Observe();
  }
  return world.Finish();
}

}  // namespace clementineloom::bench
