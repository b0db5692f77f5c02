#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "clementineloom/workload/task_run.h"

namespace clementineloom::entry {

/// @brief A run in a worker's list of running runs. An immutable value.
struct RunningItem {
  workload::TaskRun run;
  std::string checkpoint;
  std::uint32_t percent = 0;
  /// Approximate load over the last half second: for a service task its tail latency in
  /// milliseconds, for other tasks the CPU use in millicores.
  std::int64_t load_figure = 0;

  friend auto operator<=>(const RunningItem&, const RunningItem&) = default;
};

}  // namespace clementineloom::entry
