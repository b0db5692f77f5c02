#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "clementineloom/model/log_offset.h"

namespace clementineloom {

/// @brief A part of a snapshot on the control stream. An immutable value.
///
/// A snapshot takes effect only when all of its chunks were read and all checksums hold, so that
/// one whose writer died half way never does.
struct SnapshotChunk {
  /// Id of the snapshot; chunks of two writers never mix.
  const std::string snapshot;
  /// The last offset that the snapshot's state has applied.
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
