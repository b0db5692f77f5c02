#pragma once

#include <vector>

#include "clementineloom/routing/monotonic_time.h"
#include "platform/stored_record.h"

namespace clementineloom::gateway {

/// @brief The next records of a followed stream. An immutable value.
struct FollowStep {
  std::vector<platform::StoredRecord> records;
  /// Whether the records reach to the tail of the stream as of read_at.
  bool is_at_tail = false;
  /// Time before the read was sent: the answer is at least as new.
  MonotonicTime read_at;
};

}  // namespace clementineloom::gateway
