#pragma once

#include <optional>

#include "clementineloom/workload/drain_times.h"
#include "clementineloom/workload/placed_run.h"
#include "clementineloom/workload/step_spec.h"

namespace clementineloom::workload {

/// @brief When to stop a run on a draining worker, so that its task goes on elsewhere.
///
/// A run that is expected to end in time is left alone. A run that saves checkpoints goes on until
/// shortly before the worker leaves, and stopping it saves the newest one. A run without
/// checkpoints loses its work in any case: it is stopped at once while little is done; otherwise it
/// may still finish if the worker stays longer than it promised.
/// @return the time, which may have passed, or nullopt if the run is left alone
/// Thread safety: a pure function.
[[nodiscard]] std::optional<SteadyTime> DrainStopAt(const StepSpec& spec, const PlacedRun& run,
                                                    SteadyTime now, const DrainTimes& times);

}  // namespace clementineloom::workload
