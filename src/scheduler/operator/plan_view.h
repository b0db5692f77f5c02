#pragma once

#include <compare>
#include <string>

#include "clementineloom/decision/plan.h"

namespace clementineloom::scheduler {

/// @brief Answer to ConfigPlan. An immutable value.
struct PlanView {
  /// Id for confirming the plan; only valid at the scheduler that made it.
  std::string plan_id;
  Plan plan;

  friend auto operator<=>(const PlanView&, const PlanView&) = default;
};

}  // namespace clementineloom::scheduler
