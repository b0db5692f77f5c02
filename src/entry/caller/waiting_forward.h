#pragma once

#include "clementineloom/errors/refusal.h"

namespace clementineloom::entry {

/// @brief A request that peers are asked to serve.
/// Thread safety: none; use from one thread.
struct WaitingForward {
  /// The answer if no peer takes the request.
  Refusal refusal;
  /// Whether the request has no effect at a peer.
  bool is_read = false;
};

}  // namespace clementineloom::entry
