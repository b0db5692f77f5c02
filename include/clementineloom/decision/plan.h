#pragma once

#include <compare>
#include <utility>
#include <vector>

#include "clementineloom/decision/guarantee_risk.h"
#include "clementineloom/decision/plan_step.h"
#include "clementineloom/model/config_revision.h"
#include "clementineloom/state/records/config_edit.h"

namespace clementineloom {

/// @brief The configuration edits an operator intends, and their predicted effects. Nothing takes
/// effect before the record of ConfirmPlan is applied.
///
/// Thread safety: an immutable value.
class Plan {
 public:
  struct Fields {
    /// The configuration that the plan was computed against.
    ConfigRevision base_revision;
    std::vector<ConfigEdit> edits;
    /// In order of job ids, one step at most for each job. A job without a step keeps its workers.
    std::vector<PlanStep> steps;
    /// Guarantees that cannot be reclaimed in full while the plan is in force.
    std::vector<GuaranteeRisk> risks;
    /// False if the dry run reached its limit; the outcome of jobs may then differ from the one
    /// shown.
    bool is_complete = true;

    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  explicit Plan(Fields fields) : fields_(std::move(fields)) {}

  [[nodiscard]] ConfigRevision base_revision() const { return fields_.base_revision; }
  [[nodiscard]] const std::vector<ConfigEdit>& edits() const { return fields_.edits; }
  [[nodiscard]] const std::vector<PlanStep>& steps() const { return fields_.steps; }
  [[nodiscard]] const std::vector<GuaranteeRisk>& risks() const { return fields_.risks; }
  [[nodiscard]] bool is_complete() const { return fields_.is_complete; }

  /// @brief The step of a job, or nullptr if the plan does not affect it.
  [[nodiscard]] const PlanStep* FindStep(JobId job) const;

  friend auto operator<=>(const Plan&, const Plan&) = default;

 private:
  Fields fields_;
};

}  // namespace clementineloom
