#pragma once

#include <variant>

#include "net/client_result.h"
#include "net/server_request.h"

namespace clementineloom::entry {

/// @brief Requests the process to stop.
struct StopRequested {};

/// @brief An event for the decision duty.
using EntryEvent = std::variant<net::ServerRequest, net::ClientResult, StopRequested>;

}  // namespace clementineloom::entry
