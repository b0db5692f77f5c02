#pragma once

#include <vector>

#include "clementineloom/routing/monotonic_time.h"
#include "platform/stored_record.h"

namespace clementineloom::gateway {

/// @brief Records returned by one read of a followed stream. An immutable value.
struct StreamBatch {
  std::vector<platform::StoredRecord> records;
  /// Whether the records reach the tail of the stream as of read_at.
  bool is_at_tail = false;
  /// Time just before the read was sent; the result is at least as recent.
  MonotonicTime read_at;
};

}  // namespace clementineloom::gateway
