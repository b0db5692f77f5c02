#include "net/parse_endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>
#include <string>

namespace clementineloom::net {
namespace {

// An IPv6 number in brackets with the name of an interface, and a port.
constexpr std::size_t kMaxEndpointBytes = 80;

}  // namespace

Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  // What follows a zero byte would be left out.
  const bool is_whole = text.find('\0') == std::string_view::npos;
  if (colon == std::string_view::npos || text.size() > kMaxEndpointBytes || !is_whole) {
    return Refuse(ResultCode::kAddressNotNumeric, std::string(text));
  }
  std::string_view host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(std::string(host), ec);
  if (ec || parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size()) {
    return Refuse(ResultCode::kAddressNotNumeric, std::string(text));
  }
  return boost::asio::ip::tcp::endpoint(address, port);
}

}  // namespace clementineloom::net
