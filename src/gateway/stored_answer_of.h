#pragma once

#include <optional>

#include "clementineloom/routing/stored_answer.h"
#include "net/http_response.h"

namespace clementineloom::gateway {

/// @brief The part of an answer that is kept on the claims stream, or nothing if its body exceeds
/// 32 KiB.
[[nodiscard]] std::optional<StoredAnswer> StoredAnswerOf(const net::HttpResponse& response);

/// @brief The answer to a repetition of a request.
[[nodiscard]] net::HttpResponse ResponseOf(const StoredAnswer& answer);

}  // namespace clementineloom::gateway
