#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "clementineloom/model/worker_id.h"
#include "clementineloom/routing/monotonic_time.h"
#include "clementineloom/routing/request_priority.h"
#include "gateway/claim_handle.h"
#include "net/exchange_id.h"
#include "net/http_request.h"

namespace clementineloom::gateway {

/// @brief A caller's request while the gateway processes it. Owned by one duty at a time.
struct CallerRequest {
  net::ExchangeId exchange;
  net::HttpRequest request;
  /// Empty for a caller without X-Team.
  std::string team;
  RequestPriority priority = RequestPriority::kNormal;
  bool is_idempotent = false;
  MonotonicTime received_at;
  /// Set once the claim of the request has been read back.
  std::optional<ClaimHandle> claim;
  std::uint32_t attempts = 0;
  /// Whether an earlier attempt may have run at a worker.
  bool may_have_run = false;
  /// Workers at which an attempt failed.
  std::vector<WorkerId> failed_at;
};

}  // namespace clementineloom::gateway
