#include "clementineloom/decision/plan.h"

#include <algorithm>

namespace clementineloom {

const PlanStep* Plan::FindStep(JobId job) const {
  const auto it = std::ranges::lower_bound(fields_.steps, job, {}, &PlanStep::job);
  return it != fields_.steps.end() && it->job == job ? &*it : nullptr;
}

}  // namespace clementineloom
