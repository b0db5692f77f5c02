#pragma once

#include <cstdint>

#include "clementineloom/model/instant.h"

namespace clementineloom::bench {

/// @brief An attempt that runs on the fake workers.
struct AttemptRun {
  std::uint32_t attempt = 0;
  std::uint32_t accelerators = 0;
  Instant started_at;
  /// Time at the start of the attempt that restores a checkpoint and does no work.
  Duration restore_time{0};
  /// Whether the attempt fails because the failing worker takes part.
  bool will_fail = false;

  friend auto operator<=>(const AttemptRun&, const AttemptRun&) = default;
};

}  // namespace clementineloom::bench
