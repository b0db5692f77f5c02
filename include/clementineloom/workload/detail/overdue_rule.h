#pragma once

#include <optional>

#include "clementineloom/workload/detail/service_use.h"
#include "clementineloom/workload/detail/start_candidate.h"
#include "clementineloom/workload/plan_request.h"

namespace clementineloom::workload::detail {

/// @brief Decides which steps wait no longer for better room than there is. Thread safety: none.
class OverdueRule {
 public:
  /// @param request has to outlive the rule
  explicit OverdueRule(const PlanRequest& request) : request_(request) {}

  /// @brief A step without the waits that it may not go on with, or nothing if it may wait: it is
  /// not overdue, or its service is busy.
  /// Complexity: O(log(overdue steps)), and O(workers) for the first overdue step.
  [[nodiscard]] std::optional<StartCandidate> WithoutWaits(const StartCandidate& step);

 private:
  const PlanRequest& request_;
  // Counted for the first overdue step.
  std::optional<ServiceUse> use_;
};

}  // namespace clementineloom::workload::detail
