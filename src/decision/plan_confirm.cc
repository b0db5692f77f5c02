#include "clementineloom/decision/plan_confirm.h"

namespace clementineloom {

PlanConfirmation RefuseConfirmation(const Plan& shown, ConfigRevision current,
                                    ResultCode edits_code) {
  const Plan empty_plan({.base_revision = shown.base_revision(),
                         .edits = shown.edits(),
                         .steps = {},
                         .risks = {},
                         .is_complete = true});
  const bool is_conflict = current != shown.base_revision();
  return PlanConfirmation({.code = is_conflict ? ResultCode::kRevisionConflict : edits_code,
                           .edits_code = edits_code,
                           .record = std::nullopt,
                           .current_plan = std::nullopt,
                           .difference = PlanDifference::Between(shown, empty_plan)});
}

PlanConfirmation CompareForConfirmation(const Plan& shown, Plan current,
                                        const std::string& author) {
  PlanDifference difference = PlanDifference::Between(shown, current);
  if (current.base_revision() != shown.base_revision()) {
    return PlanConfirmation({.code = ResultCode::kRevisionConflict,
                             .edits_code = ResultCode::kOk,
                             .record = std::nullopt,
                             .current_plan = std::move(current),
                             .difference = std::move(difference)});
  }
  if (!difference.IsEmpty()) {
    return PlanConfirmation({.code = ResultCode::kPlanChanged,
                             .edits_code = ResultCode::kOk,
                             .record = std::nullopt,
                             .current_plan = std::move(current),
                             .difference = std::move(difference)});
  }
  return PlanConfirmation({.code = ResultCode::kOk,
                           .edits_code = ResultCode::kOk,
                           .record = ConfigChanged{shown.base_revision(), shown.edits(), author},
                           .current_plan = std::nullopt,
                           .difference = std::move(difference)});
}

}  // namespace clementineloom
