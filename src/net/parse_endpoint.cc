#include "net/parse_endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>
#include <string>

namespace clementineloom::net {
namespace {

// Upper bound for an IPv6 number in brackets with an interface name, and a port.
constexpr std::size_t kMaxEndpointBytes = 80;

}  // namespace

Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  // make_address ignores everything after a zero byte.
  const bool is_valid_c_string = text.find('\0') == std::string_view::npos;
  if (colon == std::string_view::npos || text.size() > kMaxEndpointBytes || !is_valid_c_string) {
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
