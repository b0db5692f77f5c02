#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "recovery/task_start.h"
#include "standin/standin_cluster.h"

namespace clementineloom::bench {

/// @brief Tells whether the tasks that ran at the time of construction work again or are done.
/// Thread safety: none.
class WorkWatch {
 public:
  /// @param run_time of every task
  WorkWatch(const standin::StandInCluster& cluster, workload::Milliseconds run_time);

  void OnTaskStart(const TaskStart& start);

  /// @brief Whether every one of the tasks works or is done now. Call once a millisecond: a task is
  /// done if it worked until the end of its run time.
  [[nodiscard]] bool IsAllAtWork();

 private:
  const standin::StandInCluster& cluster_;
  const std::int64_t run_time_ms_;
  // The last start of each task that is not done.
  std::map<std::string, TaskStart> open_;
};

}  // namespace clementineloom::bench
