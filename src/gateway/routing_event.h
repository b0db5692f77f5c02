#pragma once

#include <memory>
#include <variant>

#include "clementineloom/routing/listed_workers.h"
#include "gateway/claimed_request.h"
#include "gateway/view_confirmed.h"
#include "gateway/view_update.h"
#include "net/client_result.h"
#include "net/server_request.h"

namespace clementineloom::gateway {

/// @brief Input of the routing duty.
using RoutingEvent = std::variant<net::ServerRequest, net::ClientResult, ClaimedRequest, ViewUpdate,
                                  ViewConfirmed, std::shared_ptr<const ListedWorkers>>;

}  // namespace clementineloom::gateway
