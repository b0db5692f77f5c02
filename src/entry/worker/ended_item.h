#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "clementineloom/workload/end_reason.h"
#include "clementineloom/workload/task_run.h"

namespace clementineloom::entry {

/// @brief A run in a worker's list of ends. An immutable value.
struct EndedItem {
  /// Rises with each end in one life of the worker.
  std::uint64_t number = 0;
  workload::TaskRun run;
  workload::EndReason reason = workload::EndReason::kLapsed;
  std::string checkpoint;

  friend auto operator<=>(const EndedItem&, const EndedItem&) = default;
};

}  // namespace clementineloom::entry
