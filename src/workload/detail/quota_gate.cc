#include "clementineloom/workload/detail/quota_gate.h"

#include "clementineloom/workload/detail/rack_fit.h"

namespace clementineloom::workload::detail {

bool QuotaGate::Admit(StartCandidate& step) {
  const auto team = usage_.TeamOf(*step.job);
  if (!team) {
    return true;
  }
  if (waiting_teams_.contains(*team)) {
    step.task_indexes.clear();
    return false;
  }
  const auto admitted = static_cast<std::size_t>(usage_.AdmittedTasks(step));
  if (admitted == step.task_indexes.size()) {
    return true;
  }
  if (!step.spec().is_gang) {
    step.task_indexes.resize(admitted);
    return admitted > 0;
  }
  // A gang that can never start keeps nothing from others.
  if (usage_.MayEverHold(step) && CanFleetHold(step, rooms_)) {
    waiting_teams_.insert(*team);
  }
  step.task_indexes.clear();
  return false;
}

void QuotaGate::Take(const StartCandidate& step, std::size_t tasks) {
  usage_.Take(step, static_cast<std::int64_t>(tasks));
}

}  // namespace clementineloom::workload::detail
