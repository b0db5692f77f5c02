#pragma once

#include <cstdint>

#include "clementineloom/model/id.h"

namespace clementineloom {

/// @brief Number of a data centre, given in log order when it is first set.
using DataCentreId = Id<struct DataCentreIdTag, std::uint16_t>;

}  // namespace clementineloom
