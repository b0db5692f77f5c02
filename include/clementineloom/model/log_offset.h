#pragma once

#include <cstdint>

#include "clementineloom/model/id.h"

namespace clementineloom {

/// @brief Position of a record in a stream of the log service; the first record has offset 1.
using LogOffset = Id<struct LogOffsetTag, std::uint64_t>;

}  // namespace clementineloom
