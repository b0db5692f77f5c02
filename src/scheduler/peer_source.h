#pragma once

#include <concepts>
#include <string>

#include "clementineloom/errors/result.h"
#include "scheduler/peer_freshness.h"

namespace clementineloom::scheduler {

/// @brief Asks a peer how fresh its view is; a call blocks the duty that makes it.
///
/// Errors: kPeerUnavailable, kViewStale (the peer's view is not at the tail).
template <class T>
concept PeerSource = requires(T source, const std::string& address) {
  { source.Ask(address) } -> std::same_as<Result<PeerFreshness>>;
};

}  // namespace clementineloom::scheduler
