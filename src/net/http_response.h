#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "net/http_headers.h"

namespace clementineloom::net {

/// @brief A whole HTTP response. An immutable value.
struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
  /// Content-Length of an answer to HEAD, which has no body; absent if the upstream gave none.
  std::optional<std::uint64_t> head_length = std::nullopt;

  friend auto operator<=>(const HttpResponse&, const HttpResponse&) = default;
};

}  // namespace clementineloom::net
