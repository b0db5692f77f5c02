#pragma once

#include <string>

#include "clementineloom/decision/plan.h"

namespace clementineloom::scheduler {

/// @brief A plan as text, one sentence per line: what starts, moves, waits and is refused, and why.
[[nodiscard]] std::string PlanText(const Plan& plan);

}  // namespace clementineloom::scheduler
