#pragma once

#include <cstdint>

#include "clementineloom/model/id.h"

namespace clementineloom {

/// @brief Number of a worker, given in log order when it is registered.
using WorkerId = Id<struct WorkerIdTag, std::uint32_t>;

}  // namespace clementineloom
