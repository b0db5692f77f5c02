#pragma once

#include <optional>

#include "clementineloom/errors/refusal.h"
#include "net/call_id.h"
#include "net/connection_failure.h"
#include "net/http_response.h"

namespace clementineloom::net {

/// @brief The result of a ClientCall: a complete response, or a refusal that says whether it may
/// have run.
struct ClientResult {
  CallId id;
  std::optional<HttpResponse> response;
  /// Set when response is not.
  std::optional<Refusal> refusal;
  /// How the connection failed, if it did.
  ConnectionFailure connection_failure = ConnectionFailure::kNone;
};

}  // namespace clementineloom::net
