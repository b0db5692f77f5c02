#pragma once

#include <functional>

#include "net/http_response.h"
#include "net/server_request.h"

namespace clementineloom::entry {

/// @brief What the entry state tells to its daemon. All must be set.
/// Thread safety: none; called on the thread of the port.
struct EntryHooks {
  std::function<void(net::ExchangeId, net::HttpResponse)> answer;
  /// Gets whether the load balancer should route requests to this instance.
  std::function<void(bool)> set_ready;
};

}  // namespace clementineloom::entry
