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

/// @brief A claim made by this process. Private to the claims duty.
struct LocalClaim {
  ClaimKey key;
  std::string digest;
  MonotonicTime deadline;
  /// Set until the claim is read back; then the routing duty has it.
  std::optional<CallerRequest> request;
  /// Repetitions that get the same answer.
  std::vector<CallerRequest> followers;
  /// Set once the request has ended, until that is read back too.
  std::optional<std::variant<net::HttpResponse, Refusal>> outcome;
};

}  // namespace clementineloom::gateway
