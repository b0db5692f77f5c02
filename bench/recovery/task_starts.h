#pragma once

#include <vector>

#include "recovery/task_start.h"
#include "standin/standin_cluster.h"

namespace clementineloom::bench {

/// @brief The starts in the current millisecond of a cluster. Thread safety: a pure function.
[[nodiscard]] inline std::vector<TaskStart> TaskStartsNow(const standin::StandInCluster& cluster) {
  const std::int64_t now_ms = cluster.world.ElapsedMs();
  std::vector<TaskStart> starts;
  for (std::size_t n = 0; n < cluster.workers.size(); ++n) {
    for (const auto& [task, run] : cluster.workers[n]->running()) {
      if (run.started_at_ms == now_ms) {
        starts.push_back({task, n, now_ms});
      }
    }
  }
  return starts;
}

}  // namespace clementineloom::bench
