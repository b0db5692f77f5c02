#pragma once

#include <variant>

#include "net/server_request.h"
#include "scheduler/health_view.h"

namespace clementineloom::scheduler {

/// @brief What the admin duty reacts to.
using AdminEvent = std::variant<net::ServerRequest, HealthView>;

}  // namespace clementineloom::scheduler
