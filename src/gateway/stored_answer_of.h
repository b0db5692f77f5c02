#pragma once

#include <optional>

#include "clementineloom/routing/stored_answer.h"
#include "net/http_response.h"

namespace clementineloom::gateway {

/// @brief The form of a response that is stored on the claims stream, or nullopt if its body
/// exceeds 32 KiB.
[[nodiscard]] std::optional<StoredAnswer> StoredAnswerOf(const net::HttpResponse& response);

/// @brief The response to a duplicate of a request whose response was stored.
[[nodiscard]] net::HttpResponse ResponseOf(const StoredAnswer& answer);

}  // namespace clementineloom::gateway
