#pragma once

#include <string>

#include "net/http_headers.h"

namespace clementineloom::net {

/// @brief A whole HTTP request. An immutable value.
struct HttpRequest {
  std::string method;
  std::string target;
  HttpHeaders headers;
  std::string body;
  /// Host that the caller named. In a request that is sent, empty to name the address.
  std::string host = {};

  friend auto operator<=>(const HttpRequest&, const HttpRequest&) = default;
};

}  // namespace clementineloom::net
