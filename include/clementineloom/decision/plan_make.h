#pragma once

#include <utility>
#include <vector>

#include "clementineloom/decision/plan.h"
#include "clementineloom/decision/plan_engine.h"
#include "clementineloom/decision/plan_rehearsal.h"
#include "clementineloom/errors/result.h"
#include "clementineloom/model/instant.h"
#include "clementineloom/state/cluster_state.h"
#include "clementineloom/state/records/config_edit.h"

namespace clementineloom {

/// @brief Foresees what an operator's intent leads to, on a copy of the state.
///
/// A pure function of its arguments: neither the state nor the engine changes.
/// @param edits teams to create, change or delete, and data centres to take out of or into service
/// Errors: those of ConfigChanged, for example kUnknownTeam, kTeamInUse and kInvalidValue.
/// Complexity: a copy of the state, and the decisions that follow the edits.
/// @code
/// auto plan = MakePlan(state, {SetDataCentre{kolka_out}}, engine, now);
/// @endcode
template <PlanEngine E>
[[nodiscard]] Result<Plan> MakePlan(const ClusterState& state, const std::vector<ConfigEdit>& edits,
                                    const E& engine, Instant now) {
  BOOST_LEAF_AUTO(rehearsal, PlanRehearsal::Create(state, edits));
  E deciding(engine);
  while (rehearsal.Append(deciding.Decide(rehearsal.state(), now))) {
  }
  return rehearsal.ToPlan(state, {});
}

}  // namespace clementineloom
