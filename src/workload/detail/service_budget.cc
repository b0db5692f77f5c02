#include "clementineloom/workload/detail/service_budget.h"

namespace clementineloom::workload::detail {
namespace {

// A service task reports this share once it has started up.
constexpr std::uint32_t kAtWorkPercent = 100;

bool IsAtWork(const PlacedRun& run) {
  return run.stage == RunStage::kRunning && run.progress_percent == kAtWorkPercent;
}

}  // namespace

ServiceBudget::ServiceBudget(const PlanRequest& request) : request_(request) {
  for (const auto& [id, worker] : request.workers) {
    for (const auto& [run, placed] : worker.runs) {
      if (IsAtWork(placed)) {
        ++at_work_[run.task.step];
      }
    }
  }
}

bool ServiceBudget::Take(const PlacedRun& run) {
  const StepId& step = run.run.task.step;
  auto it = left_.find(step);
  if (it == left_.end()) {
    it = left_.emplace(step, BudgetOf(step)).first;
  }
  // A task that is not at work counts as down already.
  if (!IsAtWork(run) || it->second <= 0) {
    return false;
  }
  --it->second;
  return true;
}

std::int64_t ServiceBudget::BudgetOf(const StepId& step) const {
  const StepSpec* spec = request_.jobs.FindStep(step);
  if (spec == nullptr) {
    return 0;
  }
  const auto at_work = at_work_.find(step);
  const std::int64_t down =
      std::int64_t{spec->task_count} - (at_work == at_work_.end() ? 0 : at_work->second);
  return std::int64_t{spec->max_unavailable} - down;
}

}  // namespace clementineloom::workload::detail
