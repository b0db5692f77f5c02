#pragma once

#include <functional>

namespace clementineloom::entry {

/// @brief What an owner asks of, and tells to, its instance. All must be set.
/// Thread safety: none; called on the thread of the port.
struct OwnerHooks {
  /// Runs once, when ownership is lost or has been handed over.
  std::function<void()> on_lost;
  /// Runs when the owner begins to hand over because it reaches no worker.
  std::function<void()> on_hand_over;
  /// Whether other instances are known.
  std::function<bool()> has_peers;
};

}  // namespace clementineloom::entry
