#pragma once

#include <compare>
#include <cstdint>

#include "clementineloom/workload/task_run.h"

namespace clementineloom::entry {

/// @brief The order to stop a run, or never to start it. An immutable value.
struct StopOrder {
  workload::TaskRun run;
  std::uint64_t fencing_token = 0;

  friend auto operator<=>(const StopOrder&, const StopOrder&) = default;
};

}  // namespace clementineloom::entry
