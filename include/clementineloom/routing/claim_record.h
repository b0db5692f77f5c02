#pragma once

#include <variant>

#include "clementineloom/routing/request_claimed.h"
#include "clementineloom/routing/request_completed.h"
#include "clementineloom/routing/request_released.h"

namespace clementineloom {

/// @brief A record of the claims stream.
using ClaimRecord = std::variant<RequestClaimed, RequestCompleted, RequestReleased>;

}  // namespace clementineloom
