#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "entry/request_outcome.h"

namespace clementineloom::entry {

/// @brief What callers know of a job. Thread safety: none.
struct OwnershipJob {
  std::int64_t accelerators_per_task = 0;
  std::vector<RequestOutcome> submissions;
  std::vector<RequestOutcome> cancellations;
  /// Time of the world at the first success of a cancellation.
  std::optional<std::int64_t> cancelled_at_ms;
  /// Whether the store has dropped it, so that it may be submitted anew.
  bool is_dropped = false;
};

}  // namespace clementineloom::entry
