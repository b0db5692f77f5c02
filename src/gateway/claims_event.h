#pragma once

#include <variant>

#include "gateway/caller_request.h"
#include "gateway/claim_ended.h"
#include "gateway/claims_read.h"

namespace clementineloom::gateway {

/// @brief What the claims duty reacts to: a request to be claimed, the end of a claimed one,
/// records.
using ClaimsEvent = std::variant<CallerRequest, ClaimEnded, ClaimsRead>;

}  // namespace clementineloom::gateway
