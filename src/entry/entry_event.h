#pragma once

#include <variant>

#include "net/client_result.h"
#include "net/server_request.h"

namespace clementineloom::entry {

/// @brief The process was told to stop.
struct StopRequested {};

/// @brief What reaches the duty that decides.
using EntryEvent = std::variant<net::ServerRequest, net::ClientResult, StopRequested>;

}  // namespace clementineloom::entry
