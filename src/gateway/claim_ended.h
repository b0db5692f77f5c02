#pragma once

#include <variant>

#include "clementineloom/errors/refusal.h"
#include "gateway/claim_handle.h"
#include "net/http_response.h"

namespace clementineloom::gateway {

/// @brief Event: a claimed request was answered or refused.
struct ClaimEnded {
  ClaimHandle handle;
  std::variant<net::HttpResponse, Refusal> outcome;
};

}  // namespace clementineloom::gateway
