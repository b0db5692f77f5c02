#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include "entry/worker/ended_item.h"
#include "entry/worker/running_item.h"

namespace clementineloom::entry {

/// @brief A worker's lists of its running and ended runs. An immutable value.
struct WorkerLists {
  std::int64_t clock_ms = 0;
  /// Unix time at which this incarnation of the worker started; absent if the worker does not
  /// report it.
  std::optional<std::int64_t> started_at_ms;
  std::vector<RunningItem> running;
  /// Ends that have not been acknowledged, in order of their numbers.
  std::vector<EndedItem> ended;
  /// Whether ends may have been left for a later answer, so that a run in neither list may have
  /// ended.
  bool may_have_more_ends = false;

  friend auto operator<=>(const WorkerLists&, const WorkerLists&) = default;
};

}  // namespace clementineloom::entry
