#pragma once

#include "net/exchange_id.h"
#include "net/http_request.h"

namespace clementineloom::net {

/// @brief A request that a server passes to its sink, with the id for its answer.
struct ServerRequest {
  ExchangeId id;
  HttpRequest request;

  friend auto operator<=>(const ServerRequest&, const ServerRequest&) = default;
};

}  // namespace clementineloom::net
