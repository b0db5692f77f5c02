#pragma once

#include <optional>
#include <string>
#include <vector>

#include "clementineloom/decision/plan_action.h"
#include "clementineloom/model/capacity_kind.h"
#include "clementineloom/model/instant.h"
#include "clementineloom/model/job_id.h"

namespace clementineloom {

/// @brief What a plan foresees for one job. An immutable value.
struct PlanStep {
  const JobId job;
  const PlanAction action = PlanAction::kWait;
  const std::string team;
  /// Names of the workers it gets; empty for kWait and kRefuse.
  const std::vector<std::string> workers;
  /// Whether it uses its team's guarantee there; only meaningful when it gets workers.
  const CapacityKind kind = CapacityKind::kBorrowed;
  /// Why, in one sentence.
  const std::string reason;
  /// When it is expected to end; nothing when there is no estimate.
  const std::optional<Instant> expected_completion;

  /// @brief Whether the other step means the same for the job. The expected completion moves with
  /// the time of planning, and the reason may name figures that do not concern the job's fate.
  [[nodiscard]] bool HasSameEffectAs(const PlanStep& other) const {
    return job == other.job && action == other.action && workers == other.workers &&
           kind == other.kind;
  }

  friend auto operator<=>(const PlanStep&, const PlanStep&) = default;
};

}  // namespace clementineloom
