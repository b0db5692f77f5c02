#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "net/http_headers.h"

namespace clementineloom::net {

/// @brief A complete HTTP response. An immutable value.
struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
  /// Content-Length of an answer to HEAD, which has no body; absent if the upstream gave none.
  std::optional<std::uint64_t> head_length = std::nullopt;

  /// Whether the server closes the connection once it has answered the requests that it received on
  /// it, so that the caller's next request may reach another instance.
  bool closes_connection = false;

  friend auto operator<=>(const HttpResponse&, const HttpResponse&) = default;
};

}  // namespace clementineloom::net
