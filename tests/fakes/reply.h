#pragma once

#include <functional>

#include "net/http_response.h"

namespace clementineloom::fakes {

/// @brief Answers one request; may be called later, on the thread of the server.
using Reply = std::function<void(net::HttpResponse)>;

}  // namespace clementineloom::fakes
