#pragma once

#include <optional>

#include "clementineloom/errors/refusal.h"
#include "net/client_result.h"

namespace clementineloom::gateway {

/// @brief Returns why an attempt failed, or nullopt if the upstream sent a complete response.
///
/// An upstream that refuses a request before running it responds with status 503 and
/// X-Run-State: did_not_run. Every other response is forwarded to the caller, whatever its status.
[[nodiscard]] std::optional<Refusal> AttemptRefusal(const net::ClientResult& result);

}  // namespace clementineloom::gateway
