#pragma once

#include <chrono>
#include <string>

#include "net/call_id.h"
#include "net/http_request.h"

namespace clementineloom::net {

/// @brief A request to be sent to an address.
struct ClientCall {
  CallId id;
  /// IP number and port.
  std::string address;
  HttpRequest request;
  /// Time for the whole call: connect, send and receive.
  std::chrono::milliseconds timeout{5'000};
  /// A pooled connection that was idle for longer is not used; the client's own limit holds too.
  std::chrono::milliseconds max_idle = std::chrono::hours(1);

  friend auto operator<=>(const ClientCall&, const ClientCall&) = default;
};

}  // namespace clementineloom::net
