#pragma once

#include <optional>

#include "clementineloom/workload/placed_run.h"
#include "clementineloom/workload/steady_time.h"

namespace clementineloom::workload {

/// @brief Time that a run still needs by the pace of its progress; negative if it should have
/// ended already, nothing while its pace is not known.
/// Thread safety: a pure function.
[[nodiscard]] std::optional<Milliseconds> ExpectedRest(const PlacedRun& run, SteadyTime now);

}  // namespace clementineloom::workload
