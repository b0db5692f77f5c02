#pragma once

#include <cstdint>

#include "clementineloom/workload/steady_time.h"

namespace clementineloom::entry {

/// @brief Timing of the reads of a TopicFollower.
struct TopicFollowerOptions {
  /// Pause between an answer that reaches the end of the topic and the next read, so that records
  /// arrive in batches.
  workload::Milliseconds pause{100};
  /// Longest time for which the store holds a read that has no records. A broken connection is
  /// noticed only after it, so that it is short compared with the callers' timeouts.
  workload::Milliseconds wait{600};
  /// Usual size limit of a read. Small enough that hundreds of readers of the same records are
  /// answered before their reads time out. Fixed at construction: set_options does not change it.
  std::uint32_t read_kilobytes = 128;

  friend auto operator<=>(const TopicFollowerOptions&, const TopicFollowerOptions&) = default;
};

}  // namespace clementineloom::entry
