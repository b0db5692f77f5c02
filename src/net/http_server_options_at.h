#pragma once

#include <string>

#include "clementineloom/errors/result.h"
#include "net/http_server_options.h"

namespace clementineloom::net {

/// @brief Default options for a server that listens on "IP:PORT" or "[IPv6]:PORT".
/// Errors: kAddressNotNumeric.
[[nodiscard]] Result<HttpServerOptions> HttpServerOptionsAt(const std::string& address);

}  // namespace clementineloom::net
