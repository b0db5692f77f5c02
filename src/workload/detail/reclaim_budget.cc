#include "clementineloom/workload/detail/reclaim_budget.h"

#include <algorithm>

namespace clementineloom::workload::detail {
namespace {

bool AreOfSameGang(const Victim& a, const Victim& b) {
  return a.is_gang_member && a.run->run.run == b.run->run.run &&
         a.run->run.task.step == b.run->run.task.step;
}

}  // namespace

bool ReclaimBudget::Allows(const Victim& victim, const std::vector<const Victim*>& chosen) const {
  if (!victim.team || IsStopped(victim)) {
    return true;
  }
  std::int64_t lost = 0;
  for (auto it = chosen.begin(); it != chosen.end(); ++it) {
    if (AreOfSameGang(**it, victim)) {
      return true;
    }
    const auto is_counted = [&](const Victim* other) { return AreOfSameGang(*other, **it); };
    if ((*it)->team == victim.team && !IsStopped(**it) &&
        std::none_of(chosen.begin(), it, is_counted)) {
      lost += (*it)->accelerators;
    }
  }
  return shares_[*victim.team].MayLoseRunAfter(lost);
}

void ReclaimBudget::Stop(const Victim& victim) {
  if (!victim.team || IsStopped(victim)) {
    return;
  }
  shares_[*victim.team].held -= victim.accelerators;
  if (victim.is_gang_member) {
    gangs_.emplace(victim.run->run.task.step, victim.run->run.run);
  }
}

bool ReclaimBudget::IsStopped(const Victim& victim) const {
  return victim.is_gang_member && gangs_.contains({victim.run->run.task.step, victim.run->run.run});
}

}  // namespace clementineloom::workload::detail
