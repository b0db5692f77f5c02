#pragma once

#include <variant>

#include "gateway/caller_request.h"
#include "gateway/claim_ended.h"
#include "gateway/claims_read.h"

namespace clementineloom::gateway {

/// @brief Input of the claims duty: a request to claim, the outcome of a claimed request, or
/// records read from the claims stream.
using ClaimsEvent = std::variant<CallerRequest, ClaimEnded, ClaimsRead>;

}  // namespace clementineloom::gateway
