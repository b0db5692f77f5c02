#pragma once

#include <chrono>
#include <memory>
#include <vector>

#include "clementineloom/state/state_image.h"
#include "platform/followed_record.h"

namespace clementineloom::platform {

/// @brief The result of one read of the control stream. An immutable value.
struct FollowedBatch {
  /// State restored from a snapshot, to which later records apply; set if the records before it
  /// have expired.
  std::shared_ptr<const StateImage> restored;
  std::vector<FollowedRecord> records;
  LogOffset tail;
  /// Offset of the last record read so far.
  LogOffset read_to;
  /// Monotonic time before the read was sent; the tail is at least as recent as this.
  std::chrono::steady_clock::time_point read_at;

  /// @brief Whether everything that the stream held at read_at is in this or an earlier batch.
  [[nodiscard]] bool is_at_tail() const { return read_to >= tail; }
};

}  // namespace clementineloom::platform
