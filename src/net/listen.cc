#include "net/listen.h"

#include <boost/asio/ip/address.hpp>

namespace clementineloom::net {

using Tcp = boost::asio::ip::tcp;

Result<void> Listen(Tcp::acceptor& acceptor, const Tcp::endpoint& endpoint) {
  boost::system::error_code ec;
  acceptor.open(endpoint.protocol(), ec);
  if (!ec) {
    acceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
  }
  if (!ec) {
    acceptor.bind(endpoint, ec);
  }
  if (!ec) {
    acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return Refuse(ResultCode::kInvalidValue, "cannot listen on " + endpoint.address().to_string() +
                                                 ":" + std::to_string(endpoint.port()) + ": " +
                                                 ec.message());
  }
  return {};
}

Result<void> Listen(Tcp::acceptor& acceptor, const std::string& address, std::uint16_t port) {
  boost::system::error_code ec;
  const auto parsed = boost::asio::ip::make_address(address, ec);
  if (ec) {
    return Refuse(ResultCode::kAddressNotNumeric, address);
  }
  return Listen(acceptor, Tcp::endpoint(parsed, port));
}

}  // namespace clementineloom::net
