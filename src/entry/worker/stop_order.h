#pragma once

#include <compare>
#include <cstdint>

#include "clementineloom/workload/task_run.h"

namespace clementineloom::entry {

/// @brief Order to stop a run, or to refuse it if its start arrives later. An immutable value.
struct StopOrder {
  workload::TaskRun run;
  std::uint64_t fencing_token = 0;

  friend auto operator<=>(const StopOrder&, const StopOrder&) = default;
};

}  // namespace clementineloom::entry
