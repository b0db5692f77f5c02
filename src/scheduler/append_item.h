#pragma once

#include <string>

#include "scheduler/monotonic_time.h"

namespace clementineloom::scheduler {

/// @brief An encoded record on its way to the stream. Private to the append duty.
struct AppendItem {
  std::string id;
  std::string payload;
  MonotonicTime expires_at;
  /// Whether it was sent in an append that got no answer.
  bool may_be_in_stream = false;
};

}  // namespace clementineloom::scheduler
