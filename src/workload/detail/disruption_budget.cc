#include "clementineloom/workload/detail/disruption_budget.h"

namespace clementineloom::workload::detail {
namespace {

// A service task reports this progress once it is ready.
constexpr std::uint32_t kReadyPercent = 100;

bool IsAvailable(const PlacedRun& run) {
  return run.stage == RunStage::kRunning && run.progress_percent == kReadyPercent;
}

}  // namespace

DisruptionBudget::DisruptionBudget(const PlanRequest& request) : request_(request) {
  for (const auto& [id, worker] : request.workers) {
    for (const auto& [run, placed] : worker.runs) {
      if (IsAvailable(placed)) {
        ++available_[run.task.step];
      }
    }
  }
}

bool DisruptionBudget::Take(const PlacedRun& run) {
  const StepId& step = run.run.task.step;
  auto it = remaining_.find(step);
  if (it == remaining_.end()) {
    it = remaining_.emplace(step, BudgetOf(step)).first;
  }
  // A task that is not available counts against the budget already.
  if (!IsAvailable(run) || it->second <= 0) {
    return false;
  }
  --it->second;
  return true;
}

std::int64_t DisruptionBudget::BudgetOf(const StepId& step) const {
  const StepSpec* spec = request_.jobs.FindStep(step);
  if (spec == nullptr) {
    return 0;
  }
  const auto available = available_.find(step);
  const std::int64_t unavailable =
      std::int64_t{spec->task_count} - (available == available_.end() ? 0 : available->second);
  return std::int64_t{spec->max_unavailable} - unavailable;
}

}  // namespace clementineloom::workload::detail
