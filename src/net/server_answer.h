#pragma once

#include "net/exchange_id.h"
#include "net/http_response.h"

namespace clementineloom::net {

/// @brief The answer to a ServerRequest of the same id.
struct ServerAnswer {
  ExchangeId id;
  HttpResponse response;

  friend auto operator<=>(const ServerAnswer&, const ServerAnswer&) = default;
};

}  // namespace clementineloom::net
