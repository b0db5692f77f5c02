#include "clementineloom/workload/detail/quota_gate.h"

#include "clementineloom/workload/detail/rack_fit.h"

namespace clementineloom::workload::detail {

std::size_t QuotaGate::Admit(const StartCandidate& step) {
  const auto team = usage_.TeamOf(*step.job);
  if (!team) {
    return step.task_indexes.size();
  }
  if (waiting_teams_.contains(*team)) {
    return 0;
  }
  const auto admitted = static_cast<std::size_t>(usage_.AdmittedTasks(step));
  if (!step.spec().is_gang || admitted == step.task_indexes.size()) {
    return admitted;
  }
  // A gang that can never start keeps nothing from others.
  if (usage_.MayEverHold(step) && CanFleetHold(step, rooms_)) {
    waiting_teams_.insert(*team);
  }
  return 0;
}

void QuotaGate::Take(const StartCandidate& step, std::size_t tasks) {
  usage_.Take(step, static_cast<std::int64_t>(tasks));
}

}  // namespace clementineloom::workload::detail
