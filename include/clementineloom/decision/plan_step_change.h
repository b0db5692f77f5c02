#pragma once

#include <optional>

#include "clementineloom/decision/plan_step.h"

namespace clementineloom {

/// @brief A job whose step differs between two plans; nothing stands for a plan without a step.
struct PlanStepChange {
  const std::optional<PlanStep> shown;
  const std::optional<PlanStep> current;

  friend auto operator<=>(const PlanStepChange&, const PlanStepChange&) = default;
};

}  // namespace clementineloom
