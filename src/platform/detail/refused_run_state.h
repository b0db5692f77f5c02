#pragma once

#include "clementineloom/errors/run_state.h"
#include "net/http_response.h"

namespace clementineloom::platform::detail {

/// @brief What an answer with a status other than 200 says about its request.
///
/// The body of a refusal names its run state. Without it only a client error (4xx) certainly came
/// before the effect: a server or a proxy may also fail after it.
/// @return kDidNotRun or kMayHaveRun
[[nodiscard]] RunState RefusedRunState(const net::HttpResponse& response);

}  // namespace clementineloom::platform::detail
