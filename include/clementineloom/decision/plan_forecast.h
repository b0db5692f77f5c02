#pragma once

#include <vector>

#include "clementineloom/decision/guarantee_risk.h"
#include "clementineloom/decision/plan_completion.h"

namespace clementineloom {

/// @brief What an engine knows beyond its decisions. An immutable value.
struct PlanForecast {
  const std::vector<GuaranteeRisk> risks;
  /// In order of job ids; jobs without an estimate are absent.
  const std::vector<PlanCompletion> completions;

  friend auto operator<=>(const PlanForecast&, const PlanForecast&) = default;
};

}  // namespace clementineloom
