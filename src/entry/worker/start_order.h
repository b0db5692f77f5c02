#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "clementineloom/workload/task_run.h"

namespace clementineloom::entry {

/// @brief Order to start a run. An immutable value.
struct StartOrder {
  workload::TaskRun run;
  std::string payload;
  /// End of the lease, on the worker's clock.
  std::int64_t lease_until_ms = 0;
  std::uint64_t fencing_token = 0;
  /// Checkpoint to resume from; empty for none.
  std::string checkpoint;
  /// Approval ticket of the advice service; empty where none is needed.
  std::string ticket;

  friend auto operator<=>(const StartOrder&, const StartOrder&) = default;
};

}  // namespace clementineloom::entry
