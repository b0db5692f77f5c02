#pragma once

#include "clementineloom/workload/placed_run.h"
#include "clementineloom/workload/steady_time.h"

namespace clementineloom::workload::detail {

/// @brief Whether a run is expected to end by itself so soon that urgent work can wait for its
/// room. Thread safety: a pure function.
[[nodiscard]] bool EndsSoon(const PlacedRun& run, SteadyTime now);

}  // namespace clementineloom::workload::detail
