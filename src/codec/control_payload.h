#pragma once

#include <variant>

#include "clementineloom/state/record.h"
#include "clementineloom/state/snapshot_chunk.h"

namespace clementineloom::codec {

/// @brief A decoded payload of the control stream.
using ControlPayload = std::variant<Record, SnapshotChunk>;

}  // namespace clementineloom::codec
