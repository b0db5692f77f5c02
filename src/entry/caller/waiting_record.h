#pragma once

#include <string>

namespace clementineloom::entry {

/// @brief A submission or cancellation whose record is on its way to the store.
/// Thread safety: none; use from one thread.
struct WaitingRecord {
  std::string job;
  /// Another instance was asked to record it and has not answered.
  bool is_at_peers = false;
  /// Another instance may have recorded it, or may still do so.
  bool may_be_recorded = false;
  /// The store did not take it from this instance.
  bool is_refused_here = false;
};

}  // namespace clementineloom::entry
