#pragma once

#include <optional>

#include "clementineloom/workload/placed_run.h"
#include "clementineloom/workload/steady_time.h"

namespace clementineloom::workload {

/// @brief Remaining run time, extrapolated from the progress so far; negative if the run is
/// overdue, nullopt while its rate of progress is unknown.
/// Thread safety: a pure function.
[[nodiscard]] std::optional<Milliseconds> ExpectedRemainingTime(const PlacedRun& run,
                                                                SteadyTime now);

}  // namespace clementineloom::workload
