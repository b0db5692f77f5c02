#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "clementineloom/model/log_offset.h"

namespace clementineloom {

/// @brief A part of a snapshot on the control stream. An immutable value.
///
/// A snapshot takes effect only after all of its chunks were read and all checksums match, so that
/// an incomplete snapshot of a writer that failed is ignored.
struct SnapshotChunk {
  /// Id of the snapshot; keeps chunks of different writers apart.
  const std::string snapshot;
  /// The last offset that was applied to the state in the snapshot.
  const LogOffset covers;
  const std::uint32_t index = 0;
  const std::uint32_t count = 1;
  /// CRC-32 of the data of this chunk, and of the data of all chunks in order.
  const std::uint32_t checksum = 0;
  const std::uint32_t image_checksum = 0;
  const std::string data;

  friend auto operator<=>(const SnapshotChunk&, const SnapshotChunk&) = default;
};

}  // namespace clementineloom
