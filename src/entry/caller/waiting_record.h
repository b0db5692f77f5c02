#pragma once

#include <string>

#include "entry/caller/attempt_history.h"

namespace clementineloom::entry {

/// @brief A submission or cancellation that waits for its record to be stored.
/// Thread safety: none; use from one thread.
struct WaitingRecord {
  std::string job;
  /// Whether it was forwarded to another instance that has not answered.
  bool is_forwarded = false;
  /// The owner that was asked to record it and has not answered; empty for none.
  std::string asked_owner;
  /// Whether that owner has answered a probe: it is alive and waits for the store.
  bool is_owner_healthy = false;
  /// Attempts that have ended, at this and at other instances.
  AttemptHistory history;
  /// Whether the store refused the append of this instance.
  bool is_refused_here = false;
};

}  // namespace clementineloom::entry
