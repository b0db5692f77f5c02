#pragma once

#include <string>

#include "entry/caller/run_history.h"

namespace clementineloom::entry {

/// @brief A submission or cancellation whose record is on its way to the store.
/// Thread safety: none; use from one thread.
struct WaitingRecord {
  std::string job;
  /// Another instance was asked to record it and has not answered.
  bool is_at_peers = false;
  /// Attempts at it that have ended, here and at other instances.
  RunHistory history;
  /// The store did not take it from this instance.
  bool is_refused_here = false;
};

}  // namespace clementineloom::entry
