#pragma once

#include <chrono>
#include <map>
#include <string>

#include "clementineloom/errors/result.h"
#include "rpc/rpc_client.h"
#include "scheduler/peer_freshness.h"

namespace clementineloom::scheduler {

/// @brief A PeerSource that calls the RPC method peer.view.
///
/// Thread safety: none; the peer duty owns it.
class RpcPeerSource {
 public:
  explicit RpcPeerSource(std::chrono::milliseconds timeout) : timeout_(timeout) {}

  /// Errors: kPeerUnavailable and those of the peer, kViewStale (its view is not at the tail).
  [[nodiscard]] Result<PeerFreshness> Ask(const std::string& address);

 private:
  const std::chrono::milliseconds timeout_;
  std::map<std::string, rpc::RpcClient> clients_;
};

}  // namespace clementineloom::scheduler
