#pragma once

#include <cstdint>
#include <map>

#include "clementineloom/workload/plan_request.h"
#include "clementineloom/workload/step_id.h"
#include "clementineloom/workload/task_run.h"

namespace clementineloom::workload::detail {

/// @brief How many more tasks of each service the scheduler may make unavailable.
///
/// A task counts as unavailable unless it runs and reports that it is ready. Thread safety: none.
class DisruptionBudget {
 public:
  /// @param request has to outlive it
  explicit DisruptionBudget(const PlanRequest& request);

  /// @brief Takes one stop from the disruption budget of the run's step. @return whether there was
  /// one left
  [[nodiscard]] bool Take(const PlacedRun& run);

 private:
  [[nodiscard]] std::int64_t BudgetOf(const StepId& step) const;

  const PlanRequest& request_;
  std::map<StepId, std::uint32_t> available_;
  std::map<StepId, std::int64_t> remaining_;
};

}  // namespace clementineloom::workload::detail
