#pragma once

#include <memory>

#include "clementineloom/state/record.h"
#include "scheduler/monotonic_time.h"

namespace clementineloom::scheduler {

/// @brief A record that is to be appended to the control stream. An immutable value.
struct Proposal {
  std::shared_ptr<const Record> record;
  /// It is not sent after this time; one that was sent earlier may still take effect.
  MonotonicTime expires_at;

  friend auto operator<=>(const Proposal&, const Proposal&) = default;
};

}  // namespace clementineloom::scheduler
