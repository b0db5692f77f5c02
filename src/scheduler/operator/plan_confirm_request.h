#pragma once

#include <compare>
#include <string>

namespace clementineloom::scheduler {

/// @brief Operator request: puts a plan in force, if it still holds.
struct PlanConfirmRequest {
  std::string plan_id;

  friend auto operator<=>(const PlanConfirmRequest&, const PlanConfirmRequest&) = default;
};

}  // namespace clementineloom::scheduler
