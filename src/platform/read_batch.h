#pragma once

#include <vector>

#include "platform/stored_record.h"

namespace clementineloom::platform {

/// @brief Records of a stream in order, and how far the stream reached when they were read.
struct ReadBatch {
  std::vector<StoredRecord> records;
  /// Offset of the newest record of the stream, 0 for an empty one.
  LogOffset tail;
  /// Offset of the oldest record still kept.
  LogOffset oldest;

  friend auto operator<=>(const ReadBatch&, const ReadBatch&) = default;
};

}  // namespace clementineloom::platform
