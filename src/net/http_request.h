#pragma once

#include <string>

#include "net/http_headers.h"

namespace clementineloom::net {

/// @brief A complete HTTP request. An immutable value.
struct HttpRequest {
  std::string method;
  std::string target;
  HttpHeaders headers;
  std::string body;
  /// Host field of the request. If empty, a request is sent with the address as its host.
  std::string host = {};

  friend auto operator<=>(const HttpRequest&, const HttpRequest&) = default;
};

}  // namespace clementineloom::net
