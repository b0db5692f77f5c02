#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

#include "clementineloom/errors/result.h"

namespace clementineloom::net {

/// @brief Opens and binds an acceptor and starts listening.
/// Errors: kInvalidValue (the endpoint cannot be bound).
[[nodiscard]] Result<void> Listen(boost::asio::ip::tcp::acceptor& acceptor,
                                  const boost::asio::ip::tcp::endpoint& endpoint);

/// @brief The same for an IP number and a port. Errors: also kAddressNotNumeric.
[[nodiscard]] Result<void> Listen(boost::asio::ip::tcp::acceptor& acceptor,
                                  const std::string& address, std::uint16_t port);

}  // namespace clementineloom::net
