#pragma once

#include <cstdint>

#include "clementineloom/model/id.h"

namespace clementineloom::net {

/// @brief Number of one request and its answer, unique within a server while the process runs.
using ExchangeId = Id<struct ExchangeIdTag, std::uint64_t>;

}  // namespace clementineloom::net
