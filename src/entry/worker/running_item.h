#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "clementineloom/workload/task_run.h"

namespace clementineloom::entry {

/// @brief A run in a worker's list of what runs. An immutable value.
struct RunningItem {
  workload::TaskRun run;
  std::string checkpoint;
  std::uint32_t percent = 0;
  /// Rough figure of the last half second: for a service task the tail of its response times in
  /// milliseconds, else the thousandths of a core in use.
  std::int64_t load_figure = 0;

  friend auto operator<=>(const RunningItem&, const RunningItem&) = default;
};

}  // namespace clementineloom::entry
