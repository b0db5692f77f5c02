#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

#include "clementineloom/errors/result.h"

namespace clementineloom::net {

/// @brief Parses "IP:PORT" or "[IPv6]:PORT". Errors: kAddressNotNumeric.
[[nodiscard]] Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text);

}  // namespace clementineloom::net
