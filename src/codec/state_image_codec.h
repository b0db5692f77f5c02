#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "clementineloom/errors/result.h"
#include "clementineloom/state/snapshot_chunk.h"
#include "clementineloom/state/state_image.h"

namespace clementineloom::codec {

/// @brief Bytes of image text in one chunk; well below the limit of one append.
inline constexpr std::size_t kSnapshotChunkBytes = 64 * 1024;

/// @brief Writes an image as JSON text.
[[nodiscard]] std::string EncodeStateImage(const StateImage& image);

/// @brief Reads an image. Errors: those of JsonReader and of the value types' factories.
[[nodiscard]] Result<StateImage> DecodeStateImage(std::string_view text);

/// @brief The chunks of an image in order. @param snapshot unique id of the snapshot
[[nodiscard]] std::vector<SnapshotChunk> SplitStateImage(const std::string& snapshot,
                                                         const StateImage& image);

}  // namespace clementineloom::codec
