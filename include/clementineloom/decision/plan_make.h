#pragma once

#include <utility>
#include <vector>

#include "clementineloom/decision/plan.h"
#include "clementineloom/decision/plan_engine.h"
#include "clementineloom/decision/plan_forecast.h"
#include "clementineloom/decision/plan_rehearsal.h"
#include "clementineloom/errors/result.h"
#include "clementineloom/model/instant.h"
#include "clementineloom/state/cluster_state.h"
#include "clementineloom/state/records/config_edit.h"

namespace clementineloom {

/// @brief What the engine knows about the state of a rehearsal.
/// @param deciding the engine that decided for the rehearsal
/// @param engine the engine in use, which has learnt run times
template <PlanEngine E>
[[nodiscard]] PlanForecast MakePlanForecast(const ClusterState& original,
                                            const ClusterState& rehearsed, const E& deciding,
                                            const E& engine, Instant now) {
  constexpr double kMedian = 0.5;
  std::vector<GuaranteeRisk> risks;
  if constexpr (RiskReporter<E>) {
    risks = deciding.Risks(rehearsed);
  }
  std::vector<PlanCompletion> completions;
  if constexpr (RunTimeForecaster<E>) {
    for (const JobId job : original.waiting_jobs()) {
      const Duration run_time = engine.estimates().Quantile(*original.FindJob(job)->spec, kMedian);
      if (run_time != Duration::max()) {
        completions.push_back({job, now + run_time});
      }
    }
  }
  return {.risks = std::move(risks), .completions = std::move(completions)};
}

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
  return rehearsal.ToPlan(state, MakePlanForecast(state, rehearsal.state(), deciding, engine, now));
}

}  // namespace clementineloom
