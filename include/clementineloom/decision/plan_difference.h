#pragma once

#include <vector>

#include "clementineloom/decision/guarantee_risk.h"
#include "clementineloom/decision/plan.h"
#include "clementineloom/decision/plan_step_change.h"

namespace clementineloom {

/// @brief What changed between the plan shown to an operator and the current one.
///
/// Thread safety: an immutable value.
struct PlanDifference {
  /// In order of job ids.
  const std::vector<PlanStepChange> steps;
  const std::vector<GuaranteeRisk> new_risks;
  const std::vector<GuaranteeRisk> gone_risks;

  /// @brief Compares the effects of two plans; base revisions and times are ignored.
  [[nodiscard]] static PlanDifference Between(const Plan& shown, const Plan& current);

  [[nodiscard]] bool IsEmpty() const {
    return steps.empty() && new_risks.empty() && gone_risks.empty();
  }

  friend auto operator<=>(const PlanDifference&, const PlanDifference&) = default;
};

}  // namespace clementineloom
