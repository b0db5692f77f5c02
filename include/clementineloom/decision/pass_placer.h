#pragma once

#include <concepts>
#include <cstdint>
#include <optional>

#include "clementineloom/decision/placer.h"
#include "clementineloom/decision/reclaim_plan.h"

namespace clementineloom {

/// @brief A Placer that places many jobs in one pass, each on capacity that is left by those before
/// it, and that honours the teams' guarantees.
template <class T>
concept PassPlacer = Placer<T> &&
    requires(T placer, const T& view, const ClusterState& state, JobId job, TeamId team,
             const GangShape& shape, WorkerId worker, std::int32_t accelerators, Instant now) {
  placer.BeginPass(state, now);
  { placer.PlaceInCell(state, job) } -> std::same_as<std::optional<Placement>>;
  { placer.PlaceBorrowing(state, job) } -> std::same_as<std::optional<Placement>>;
  { placer.PlanReclaim(state, job) } -> std::same_as<std::optional<ReclaimPlan>>;
  placer.KeepFree(state, worker, accelerators);
  { view.HasIdleCell(state, team, shape) } -> std::same_as<bool>;
  { view.CanEverRun(state, job) } -> std::same_as<bool>;
  view.packing();
};

}  // namespace clementineloom
