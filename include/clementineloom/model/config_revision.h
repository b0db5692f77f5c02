#pragma once

#include <cstdint>

#include "clementineloom/model/id.h"

namespace clementineloom {

/// @brief Number of accepted configuration changes; grows by one with each and never goes back.
using ConfigRevision = Id<struct ConfigRevisionTag, std::uint64_t>;

}  // namespace clementineloom
