#pragma once

#include <concepts>
#include <vector>

#include "clementineloom/decision/guarantee_risk.h"
#include "clementineloom/model/instant.h"
#include "clementineloom/model/job_spec.h"
#include "clementineloom/state/cluster_state.h"
#include "clementineloom/state/record_body.h"

namespace clementineloom {

/// @brief What a plan asks for its decisions: DecisionEngine over any Placer.
///
/// A plan decides with a copy, so that the engine in use learns nothing from a rehearsal.
template <class T>
concept PlanEngine = std::copy_constructible<T> &&
    requires(T engine, const ClusterState& state, Instant now) {
  { engine.Decide(state, now) } -> std::same_as<std::vector<RecordBody>>;
};

/// @brief An engine that names the guarantees it found no place for in its last decision.
template <class T>
concept RiskReporter = requires(const T engine, const ClusterState& state) {
  { engine.Risks(state) } -> std::same_as<std::vector<GuaranteeRisk>>;
};

/// @brief An engine that has learnt how long jobs run; Duration::max() stands for unknown.
template <class T>
concept RunTimeForecaster = requires(const T engine, const JobSpec& spec, double quantile) {
  { engine.estimates().Quantile(spec, quantile) } -> std::same_as<Duration>;
};

}  // namespace clementineloom
