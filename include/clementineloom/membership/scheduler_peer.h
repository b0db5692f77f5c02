#pragma once

#include <compare>
#include <string>

namespace clementineloom {

/// @brief A live scheduler from the instance list. An immutable value.
struct SchedulerPeer {
  std::string instance;
  /// IP:PORT of its RPC server.
  std::string rpc;

  friend auto operator<=>(const SchedulerPeer&, const SchedulerPeer&) = default;
};

}  // namespace clementineloom
