#pragma once

#include "clementineloom/errors/refusal.h"
#include "net/http_response.h"

namespace clementineloom::net {

/// @brief The HTTP status of an answer with the given result code.
[[nodiscard]] int HttpStatusOf(ResultCode code);

/// @brief The answer for a refusal: a JSON object with code, name, run_state and detail, and the
/// headers X-Result-Code and X-Run-State.
[[nodiscard]] HttpResponse RefusalResponse(const Refusal& refusal);

}  // namespace clementineloom::net
