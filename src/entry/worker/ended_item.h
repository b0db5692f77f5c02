#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "clementineloom/workload/end_reason.h"
#include "clementineloom/workload/task_run.h"

namespace clementineloom::entry {

/// @brief An ended run in a worker's lists. An immutable value.
struct EndedItem {
  /// Increases with each end within one incarnation of the worker.
  std::uint64_t number = 0;
  workload::TaskRun run;
  workload::EndReason reason = workload::EndReason::kLapsed;
  std::string checkpoint;

  friend auto operator<=>(const EndedItem&, const EndedItem&) = default;
};

}  // namespace clementineloom::entry
