#pragma once

#include "gateway/caller_request.h"

namespace clementineloom::gateway {

/// @brief Event: the claim of a request is the first for its key, so the request may run.
struct ClaimedRequest {
  CallerRequest request;
};

}  // namespace clementineloom::gateway
