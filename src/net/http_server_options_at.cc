#include "net/http_server_options_at.h"

#include "net/parse_endpoint.h"

namespace clementineloom::net {

Result<HttpServerOptions> HttpServerOptionsAt(const std::string& address) {
  BOOST_LEAF_AUTO(endpoint, ParseEndpoint(address));
  HttpServerOptions options;
  options.address = endpoint.address().to_string();
  options.port = endpoint.port();
  return options;
}

}  // namespace clementineloom::net
