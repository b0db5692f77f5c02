#pragma once

#include <cstdint>

#include "clementineloom/model/id.h"

namespace clementineloom {

/// @brief Offset of the placement record behind a lease; a worker refuses a token lower than the
/// highest that it has seen.
using FencingToken = Id<struct FencingTokenTag, std::uint64_t>;

}  // namespace clementineloom
