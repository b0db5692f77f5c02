#pragma once

#include <string>

#include "clementineloom/errors/result.h"
#include "gateway/claims_options.h"
#include "gateway/gateway_options.h"
#include "net/http_server_options.h"
#include "settings/gateway_settings.h"

namespace clementineloom::gateway {

/// @brief The options of the request path. Errors: kAddressNotNumeric (listen).
[[nodiscard]] Result<GatewayOptions> GatewayOptionsOf(const settings::GatewaySettings& settings);

/// @brief The options of the admin server. Errors: kAddressNotNumeric (admin).
[[nodiscard]] Result<net::HttpServerOptions> AdminOptionsOf(
    const settings::GatewaySettings& settings);

/// @brief The options of the claims duty.
/// @param process unique to this process
[[nodiscard]] ClaimsOptions ClaimsOptionsOf(const settings::GatewaySettings& settings,
                                            std::string process);

}  // namespace clementineloom::gateway
