#pragma once

#include "clementineloom/workload/placed_run.h"
#include "clementineloom/workload/step_spec.h"

namespace clementineloom::workload {

/// @brief Whether a run has made no progress for so long that it counts as hung.
///
/// Tasks that run until they are cancelled show no progress. Thread safety: a pure function.
/// Precondition: run.progressed_at is set.
/// @param gang_timeout time that the members of a gang wait for each other
[[nodiscard]] bool HasStalled(const StepSpec& spec, const PlacedRun& run, SteadyTime now,
                              Milliseconds gang_timeout);

}  // namespace clementineloom::workload
