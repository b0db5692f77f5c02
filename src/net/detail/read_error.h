#pragma once

#include <boost/system/error_code.hpp>

#include "clementineloom/errors/refusal.h"

namespace clementineloom::net::detail {

/// @brief Whether a failed read means that the caller closed the connection. That is not malformed
/// input, and an answer could not be delivered.
/// Thread safety: may be called from any thread.
[[nodiscard]] bool IsDisconnect(const boost::system::error_code& ec);

/// @brief The refusal of a request that could not be read. Precondition: ec is an error.
/// Thread safety: may be called from any thread.
[[nodiscard]] Refusal RefusalOfReadError(const boost::system::error_code& ec);

}  // namespace clementineloom::net::detail
