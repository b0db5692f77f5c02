#pragma once

#include <compare>
#include <string>

namespace clementineloom::scheduler {

/// @brief Operator request: applies a plan if it is still valid.
struct PlanConfirmRequest {
  std::string plan_id;

  friend auto operator<=>(const PlanConfirmRequest&, const PlanConfirmRequest&) = default;
};

}  // namespace clementineloom::scheduler
