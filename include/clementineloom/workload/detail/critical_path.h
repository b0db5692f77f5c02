#pragma once

#include <cstdint>
#include <vector>

#include "clementineloom/workload/step_spec.h"

namespace clementineloom::workload::detail {

/// @brief Longest chain of dependent steps that begins with a step, by the callers' estimates, in
/// milliseconds. Precondition: first is a step of the list. Steps depend on earlier steps only.
/// Thread safety: a pure function. Complexity: linear in the dependencies.
[[nodiscard]] std::int64_t CriticalPathFromMs(const std::vector<StepSpec>& steps,
                                              std::uint32_t first);

/// @brief Longest chain of dependent steps of a job, in milliseconds; 0 without steps.
[[nodiscard]] std::int64_t CriticalPathMs(const std::vector<StepSpec>& steps);

}  // namespace clementineloom::workload::detail
