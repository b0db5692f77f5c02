#pragma once

#include <atomic>

namespace clementineloom::gateway {

/// @brief What the health page reports. Thread safety: any thread.
struct DaemonHealth {
  std::atomic<bool> is_control_caught_up{false};
  std::atomic<bool> is_claims_caught_up{false};
  /// A record of a newer schema was read, so that the view may differ from the others'.
  std::atomic<bool> is_outdated{false};
  std::atomic<bool> is_draining{false};
};

}  // namespace clementineloom::gateway
