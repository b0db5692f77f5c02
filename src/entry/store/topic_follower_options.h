#pragma once

#include "clementineloom/workload/steady_time.h"

namespace clementineloom::entry {

/// @brief Pace of a TopicFollower.
struct TopicFollowerOptions {
  /// Pause between an answer with records and the next read, so that records come in batches.
  workload::Milliseconds pause{100};
  /// Longest wait of the store for a record. A silent connection shows only after it, so that it
  /// is short against the time in which callers give up.
  workload::Milliseconds wait{600};

  friend auto operator<=>(const TopicFollowerOptions&, const TopicFollowerOptions&) = default;
};

}  // namespace clementineloom::entry
