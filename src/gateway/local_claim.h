#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "clementineloom/errors/refusal.h"
#include "clementineloom/routing/claim_key.h"
#include "gateway/caller_request.h"
#include "net/http_response.h"

namespace clementineloom::gateway {

/// @brief A claim made by this process. Internal to the claims duty.
struct LocalClaim {
  ClaimKey key;
  std::string digest;
  MonotonicTime deadline;
  /// Set until the claim is read back; then the request is moved to the routing duty.
  std::optional<CallerRequest> request;
  /// Requests with the same key that wait for the same outcome.
  std::vector<CallerRequest> duplicates;
  /// Set once the request has ended; kept until the record of its end is read back.
  std::optional<std::variant<net::HttpResponse, Refusal>> outcome;
};

}  // namespace clementineloom::gateway
