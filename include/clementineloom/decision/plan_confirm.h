#pragma once

#include <optional>
#include <string>
#include <utility>

#include "clementineloom/decision/plan_confirmation.h"
#include "clementineloom/decision/plan_make.h"

namespace clementineloom {

/// @brief The answer to a confirmation whose edits can no longer be applied.
/// @param current the revision of the state
/// @param edits_code why the state refuses the edits
[[nodiscard]] PlanConfirmation RefuseConfirmation(const Plan& shown, ConfigRevision current,
                                                  ResultCode edits_code);

/// @brief The answer to a confirmation, from a comparison of the plan shown with the current one.
[[nodiscard]] PlanConfirmation CompareForConfirmation(const Plan& shown, Plan current,
                                                      const std::string& author);

/// @brief Returns the record that puts a plan into force, if the plan is still current.
///
/// Two operators who confirm against the same revision may both get a record. ClusterState then
/// accepts the one that comes first in the log and voids the other with kRevisionConflict. The
/// second operator calls this again to get the new plan and the difference.
/// @param shown the plan that the operator saw
/// @param author the operator, for the audit trail
/// @return kRevisionConflict if the configuration has changed, else the code of edits that are
/// refused, else kPlanChanged if the plan has other effects now, else the record
template <PlanEngine E>
[[nodiscard]] PlanConfirmation ConfirmPlan(const ClusterState& state, const Plan& shown,
                                           const E& engine, Instant now,
                                           const std::string& author) {
  return CatchRefusal(
      [&]() -> Result<PlanConfirmation> {
        BOOST_LEAF_AUTO(current, MakePlan(state, shown.edits(), engine, now));
        return CompareForConfirmation(shown, std::move(current), author);
      },
      [&](const Refusal& refusal) {
        return RefuseConfirmation(shown, state.config_revision(), refusal.code);
      });
}

}  // namespace clementineloom
