#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include "entry/worker/ended_item.h"
#include "entry/worker/running_item.h"

namespace clementineloom::entry {

/// @brief What a worker says of its runs. An immutable value.
struct WorkerLists {
  std::int64_t clock_ms = 0;
  /// Unix time of the start of this life; absent where the worker does not tell.
  std::optional<std::int64_t> started_at_ms;
  std::vector<RunningItem> running;
  /// Ends that were not acknowledged yet, by number.
  std::vector<EndedItem> ended;
  /// Ends may have been left for a later answer, so that a run in neither list may have ended.
  bool may_have_more_ends = false;

  friend auto operator<=>(const WorkerLists&, const WorkerLists&) = default;
};

}  // namespace clementineloom::entry
