#pragma once

#include <optional>

#include "clementineloom/errors/refusal.h"
#include "net/client_result.h"

namespace clementineloom::gateway {

/// @brief Why an attempt failed, or nothing when the upstream gave a whole answer of its own.
///
/// An upstream refuses a request before it runs with status 503 and X-Run-State: did_not_run. Any
/// other answer is the caller's, whatever its status.
[[nodiscard]] std::optional<Refusal> AttemptRefusal(const net::ClientResult& result);

}  // namespace clementineloom::gateway
