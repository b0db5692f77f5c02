#pragma once

#include <string>

#include "net/http_request.h"

namespace clementineloom::gateway {

/// @brief SHA-1 of method, target and body as a version 5 UUID. It detects different requests that
/// use the same key by mistake; it does not protect against deliberately constructed collisions.
[[nodiscard]] std::string RequestDigest(const net::HttpRequest& request);

}  // namespace clementineloom::gateway
