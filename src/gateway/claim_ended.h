#pragma once

#include <variant>

#include "clementineloom/errors/refusal.h"
#include "gateway/claim_ticket.h"
#include "net/http_response.h"

namespace clementineloom::gateway {

/// @brief A claimed request was answered or refused.
struct ClaimEnded {
  ClaimTicket ticket;
  std::variant<net::HttpResponse, Refusal> outcome;
};

}  // namespace clementineloom::gateway
