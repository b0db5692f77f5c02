#include "clementineloom/decision/plan_difference.h"

#include <algorithm>
#include <iterator>
#include <optional>

namespace clementineloom {
namespace {

std::vector<PlanStepChange> StepChanges(const std::vector<PlanStep>& shown,
                                        const std::vector<PlanStep>& current) {
  std::vector<PlanStepChange> changes;
  auto old_step = shown.begin();
  auto new_step = current.begin();
  while (old_step != shown.end() || new_step != current.end()) {
    const bool has_old =
        new_step == current.end() || (old_step != shown.end() && old_step->job <= new_step->job);
    const bool has_new =
        old_step == shown.end() || (new_step != current.end() && new_step->job <= old_step->job);
    if (!has_old || !has_new || !old_step->HasSameEffectAs(*new_step)) {
      changes.push_back({has_old ? std::optional(*old_step) : std::nullopt,
                         has_new ? std::optional(*new_step) : std::nullopt});
    }
    old_step += has_old ? 1 : 0;
    new_step += has_new ? 1 : 0;
  }
  return changes;
}

// Elements of the first list that are not in the second.
std::vector<GuaranteeRisk> RisksMissing(std::vector<GuaranteeRisk> from,
                                        std::vector<GuaranteeRisk> other) {
  std::ranges::sort(from);
  std::ranges::sort(other);
  std::vector<GuaranteeRisk> missing;
  std::ranges::set_difference(from, other, std::back_inserter(missing));
  return missing;
}

}  // namespace

PlanDifference PlanDifference::Between(const Plan& shown, const Plan& current) {
  return {.steps = StepChanges(shown.steps(), current.steps()),
          .new_risks = RisksMissing(current.risks(), shown.risks()),
          .gone_risks = RisksMissing(shown.risks(), current.risks())};
}

}  // namespace clementineloom
