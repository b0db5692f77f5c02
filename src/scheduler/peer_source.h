#pragma once

#include <concepts>
#include <string>

#include "clementineloom/errors/result.h"
#include "scheduler/peer_freshness.h"

namespace clementineloom::scheduler {

/// @brief Asks a peer for the freshness of its view; a call blocks the calling duty.
///
/// Errors: kPeerUnavailable, kViewStale (the peer's view is not at the tail).
template <class T>
concept PeerSource = requires(T source, const std::string& address) {
  { source.Ask(address) } -> std::same_as<Result<PeerFreshness>>;
};

}  // namespace clementineloom::scheduler
