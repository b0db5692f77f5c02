#pragma once

#include <concepts>
#include <vector>

#include "clementineloom/decision/guarantee_risk.h"
#include "clementineloom/model/instant.h"
#include "clementineloom/model/job_spec.h"
#include "clementineloom/state/cluster_state.h"
#include "clementineloom/state/record_body.h"

namespace clementineloom {

/// @brief An engine that can decide for a plan: DecisionEngine with any Placer.
///
/// A plan uses a copy of the engine, so that the original learns nothing from a dry run.
template <class T>
concept PlanEngine = std::copy_constructible<T> &&
    requires(T engine, const ClusterState& state, Instant now) {
  { engine.Decide(state, now) } -> std::same_as<std::vector<RecordBody>>;
};

/// @brief An engine that reports the guarantees for which its last decision found no capacity.
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
