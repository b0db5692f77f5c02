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
  /// Host that the caller named; empty in requests that are sent, which name the address.
  std::string host = {};

  friend auto operator<=>(const HttpRequest&, const HttpRequest&) = default;
};

}  // namespace clementineloom::net
