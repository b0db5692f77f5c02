#pragma once

#include <optional>
#include <string>
#include <vector>

#include "clementineloom/decision/plan_action.h"
#include "clementineloom/model/capacity_kind.h"
#include "clementineloom/model/instant.h"
#include "clementineloom/model/job_id.h"

namespace clementineloom {

/// @brief The predicted effect of a plan on one job. An immutable value.
struct PlanStep {
  const JobId job;
  const PlanAction action = PlanAction::kWait;
  const std::string team;
  /// Names of the workers that the job gets; empty for kWait and kRefuse.
  const std::vector<std::string> workers;
  /// Whether the job uses its team's guarantee or borrows; only meaningful if it gets workers.
  const CapacityKind kind = CapacityKind::kBorrowed;
  /// Why, in one sentence.
  const std::string reason;
  /// When the job is expected to end; nothing if there is no estimate.
  const std::optional<Instant> expected_completion;

  /// @brief Whether both steps have the same effect on the job. The expected completion depends on
  /// the time of planning, and the reason may contain numbers that do not affect the job, so
  /// neither is compared.
  [[nodiscard]] bool HasSameEffectAs(const PlanStep& other) const {
    return job == other.job && action == other.action && workers == other.workers &&
           kind == other.kind;
  }

  friend auto operator<=>(const PlanStep&, const PlanStep&) = default;
};

}  // namespace clementineloom
