#pragma once

#include <vector>

#include "clementineloom/decision/guarantee_risk.h"
#include "clementineloom/decision/plan_completion.h"

namespace clementineloom {

/// @brief Risks and expected completions that an engine reports for a plan. An immutable value.
struct PlanForecast {
  const std::vector<GuaranteeRisk> risks;
  /// In order of job ids; jobs without an estimate are absent.
  const std::vector<PlanCompletion> completions;

  friend auto operator<=>(const PlanForecast&, const PlanForecast&) = default;
};

}  // namespace clementineloom
