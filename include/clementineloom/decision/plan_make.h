#pragma once

#include <utility>
#include <vector>

#include "clementineloom/decision/plan.h"
#include "clementineloom/decision/plan_dry_run.h"
#include "clementineloom/decision/plan_engine.h"
#include "clementineloom/decision/plan_forecast.h"
#include "clementineloom/errors/result.h"
#include "clementineloom/model/instant.h"
#include "clementineloom/state/cluster_state.h"
#include "clementineloom/state/records/config_edit.h"

namespace clementineloom {

/// @brief Collects the risks and expected completions of a dry run.
/// @param dry_run_engine the copy of the engine that decided in the dry run
/// @param engine the original engine, which has learnt run times
template <PlanEngine E>
[[nodiscard]] PlanForecast MakePlanForecast(const ClusterState& original,
                                            const ClusterState& dry_run_state,
                                            const E& dry_run_engine, const E& engine, Instant now) {
  constexpr double kMedian = 0.5;
  std::vector<GuaranteeRisk> risks;
  if constexpr (RiskReporter<E>) {
    risks = dry_run_engine.Risks(dry_run_state);
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

/// @brief Predicts the effects of configuration edits by a dry run on a copy of the state.
///
/// A pure function of its arguments: neither the state nor the engine changes.
/// @param edits teams to create, change or delete, and data centres to take out of or into service
/// Errors: those of ConfigChanged, for example kUnknownTeam, kTeamInUse and kInvalidValue.
/// Complexity: a copy of the state, and the decisions that follow the edits.
/// @code
/// auto plan = MakePlan(state, {SetDataCentre{north_out}}, engine, now);
/// @endcode
template <PlanEngine E>
[[nodiscard]] Result<Plan> MakePlan(const ClusterState& state, const std::vector<ConfigEdit>& edits,
                                    const E& engine, Instant now) {
  BOOST_LEAF_AUTO(dry_run, PlanDryRun::Create(state, edits));
  E dry_run_engine(engine);
  while (dry_run.Append(dry_run_engine.Decide(dry_run.state(), now))) {
  }
  return dry_run.ToPlan(state,
                        MakePlanForecast(state, dry_run.state(), dry_run_engine, engine, now));
}

}  // namespace clementineloom
