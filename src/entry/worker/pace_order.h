#pragma once

#include <compare>
#include <cstdint>

#include "clementineloom/workload/task_run.h"

namespace clementineloom::entry {

/// @brief Order to throttle a run to a percentage of its full speed. An immutable value.
struct PaceOrder {
  workload::TaskRun run;
  std::uint32_t percent = 100;
  std::uint64_t fencing_token = 0;

  friend auto operator<=>(const PaceOrder&, const PaceOrder&) = default;
};

}  // namespace clementineloom::entry
