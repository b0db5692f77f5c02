#include "clementineloom/workload/wait_times.h"

#include <chrono>
#include <utility>

namespace clementineloom::workload {

void WaitTimes::Note(SteadyTime now, std::span<const StepId> waiting) {
  noted_at_ = now;
  std::map<StepId, SteadyTime> since;
  for (const StepId& it : waiting) {
    const auto known = since_.find(it);
    since.emplace(it, known == since_.end() ? now : known->second);
  }
  since_ = std::move(since);
}

std::vector<StepId> WaitTimes::LongerThan(Milliseconds time) const {
  std::vector<StepId> steps;
  for (const auto& [step, since] : since_) {
    if (noted_at_ - since >= time) {
      steps.push_back(step);
    }
  }
  return steps;
}

Milliseconds WaitTimes::LengthOf(const StepId& step) const {
  return std::chrono::duration_cast<Milliseconds>(noted_at_ - since_.at(step));
}

}  // namespace clementineloom::workload
