#pragma once

#include <atomic>

namespace clementineloom::gateway {

/// @brief State reported by GET /health. Thread safety: any thread.
struct DaemonHealth {
  std::atomic<bool> is_control_caught_up{false};
  std::atomic<bool> are_claims_caught_up{false};
  /// A record with a newer schema was read or a snapshot could not be restored, so the view may
  /// differ from that of other gateways.
  std::atomic<bool> is_outdated{false};
  std::atomic<bool> is_draining{false};
};

}  // namespace clementineloom::gateway
