#pragma once

#include <cstdint>

#include "clementineloom/model/id.h"

namespace clementineloom {

/// @brief Number of a team, given in log order when the team is first set.
using TeamId = Id<struct TeamIdTag, std::uint32_t>;

}  // namespace clementineloom
