#pragma once

#include "gateway/caller_request.h"

namespace clementineloom::gateway {

/// @brief A request whose claim is the first for its key, so that it may run.
struct ClaimedRequest {
  CallerRequest request;
};

}  // namespace clementineloom::gateway
