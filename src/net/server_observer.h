#pragma once

#include <functional>

#include "clementineloom/errors/result_code.h"
#include "net/ended_request.h"

namespace clementineloom::net {

/// @brief What a server reports; members may be empty.
///
/// Thread safety: called on the server's I/O thread, and for requests that the end of the server
/// cuts off, on the thread that destroys it, once the I/O thread has ended. They must not block.
struct ServerObserver {
  /// Gets the code of each refusal that the server itself makes.
  std::function<void(ResultCode)> on_refusal;
  /// A request was read.
  std::function<void()> on_read;
  /// Gets the outcome of each request read, once.
  std::function<void(const EndedRequest&)> on_end;
};

}  // namespace clementineloom::net
