#pragma once

#include <cstdint>

#include "clementineloom/model/id.h"

namespace clementineloom {

/// @brief Number of a rack, given in log order of its first worker; unique over data centres.
using RackId = Id<struct RackIdTag, std::uint32_t>;

}  // namespace clementineloom
