#pragma once

#include <optional>

#include "clementineloom/decision/plan_step.h"

namespace clementineloom {

/// @brief A job whose step differs between two plans; nothing if a plan has no step for the job.
struct PlanStepChange {
  const std::optional<PlanStep> shown;
  const std::optional<PlanStep> current;

  friend auto operator<=>(const PlanStepChange&, const PlanStepChange&) = default;
};

}  // namespace clementineloom
