#pragma once

#include <variant>

#include "clementineloom/state/record.h"
#include "clementineloom/state/snapshot_chunk.h"

namespace clementineloom::codec {

/// @brief What a payload of the control stream holds.
using ControlPayload = std::variant<Record, SnapshotChunk>;

}  // namespace clementineloom::codec
