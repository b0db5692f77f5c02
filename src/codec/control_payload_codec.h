#pragma once

#include <string>
#include <string_view>

#include "clementineloom/errors/result.h"
#include "codec/control_payload.h"

namespace clementineloom::codec {

/// @brief Writes a chunk of a snapshot as one line of JSON. @param id of the record
[[nodiscard]] std::string EncodeSnapshotChunk(const std::string& id, const SnapshotChunk& chunk);

/// @brief Reads a record or a chunk of a snapshot.
/// Errors: kCorruptRecord, kNewerSchema, kSnapshotTorn (the data does not match its checksum).
/// Thread safety: pure function.
[[nodiscard]] Result<ControlPayload> DecodeControlPayload(std::string_view text);

}  // namespace clementineloom::codec
