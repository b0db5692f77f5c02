#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "fuzz_target.h"
#include "net/detail/beast_conversion.h"

// Converts each request that parses to net::HttpRequest and back; neither step may fail.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  namespace http = boost::beast::http;
  namespace detail = clementineloom::net::detail;
  http::request_parser<http::string_body> parser;
  parser.body_limit(4096);
  parser.eager(true);
  boost::system::error_code ec;
  parser.put(boost::asio::buffer(data, size), ec);
  if (!ec && parser.is_done()) {
    const auto request = detail::FromBeast(parser.release());
    (void)detail::ToBeast(request, "127.0.0.1:1");
  }
  return 0;
}
