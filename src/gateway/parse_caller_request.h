#pragma once

#include <string>

#include "clementineloom/errors/result.h"
#include "gateway/caller_request.h"
#include "net/server_request.h"

namespace clementineloom::gateway {

/// @brief Parses the headers that the gateway evaluates: X-Team, X-Priority and X-Request-Id.
/// @param default_id X-Request-Id for a request without one
/// Errors: kMalformedRequest (X-Team is not a name, X-Priority is unknown).
[[nodiscard]] Result<CallerRequest> ParseCallerRequest(net::ServerRequest request,
                                                       const std::string& default_id,
                                                       MonotonicTime received_at);

}  // namespace clementineloom::gateway
