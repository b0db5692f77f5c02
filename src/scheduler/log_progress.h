#pragma once

#include <compare>
#include <string>
#include <vector>

#include "scheduler/monotonic_time.h"

namespace clementineloom::scheduler {

/// @brief What was read back from the control stream. An immutable value.
struct LogProgress {
  /// Ids of this process's records that were read.
  std::vector<std::string> own_records;
  /// When the view last reached the tail.
  MonotonicTime at_tail;

  friend auto operator<=>(const LogProgress&, const LogProgress&) = default;
};

}  // namespace clementineloom::scheduler
