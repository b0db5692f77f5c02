#pragma once

#include <functional>

#include "clementineloom/workload/steady_time.h"
#include "standin/standin_cluster.h"

namespace clementineloom::bench {

/// @brief One step of a trouble: what happens to the cluster, and when.
struct TimedStep {
  /// Time since the beginning of the trouble.
  workload::Milliseconds at{0};
  std::function<void(standin::StandInCluster&)> act;
};

}  // namespace clementineloom::bench
