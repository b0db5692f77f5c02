#pragma once

#include <cstdint>
#include <map>

#include "clementineloom/workload/plan_request.h"
#include "clementineloom/workload/step_id.h"
#include "clementineloom/workload/task_run.h"

namespace clementineloom::workload::detail {

/// @brief How many more tasks of each service the scheduler may hold down.
///
/// A task counts as down unless it runs and reports that it is at work. Thread safety: none.
class ServiceBudget {
 public:
  /// @param request has to outlive it
  explicit ServiceBudget(const PlanRequest& request);

  /// @brief Takes one stop from the budget of the run's step. @return whether there was one left
  [[nodiscard]] bool Take(const PlacedRun& run);

 private:
  [[nodiscard]] std::int64_t BudgetOf(const StepId& step) const;

  const PlanRequest& request_;
  std::map<StepId, std::uint32_t> at_work_;
  std::map<StepId, std::int64_t> left_;
};

}  // namespace clementineloom::workload::detail
