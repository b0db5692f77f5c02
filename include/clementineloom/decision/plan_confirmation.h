#pragma once

#include <compare>
#include <optional>
#include <utility>

#include "clementineloom/decision/plan.h"
#include "clementineloom/decision/plan_difference.h"
#include "clementineloom/errors/result_code.h"
#include "clementineloom/state/records/config_changed.h"

namespace clementineloom {

/// @brief The answer to an operator who confirms a plan. An immutable value.
class PlanConfirmation {
 public:
  struct Fields {
    /// kOk, kRevisionConflict, kPlanChanged, or the value of edits_code.
    ResultCode code = ResultCode::kOk;
    /// Why the edits cannot be applied any more, for example kUnknownTeam; else kOk.
    ResultCode edits_code = ResultCode::kOk;
    /// The record to append to put the plan into force; only with kOk.
    std::optional<ConfigChanged> record;
    /// The current plan; absent with kOk, and if the edits can no longer be applied.
    std::optional<Plan> current_plan;
    /// From the plan shown to the current one.
    PlanDifference difference;

    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  explicit PlanConfirmation(Fields fields) : fields_(std::move(fields)) {}

  [[nodiscard]] bool is_accepted() const { return fields_.code == ResultCode::kOk; }
  [[nodiscard]] ResultCode code() const { return fields_.code; }
  [[nodiscard]] ResultCode edits_code() const { return fields_.edits_code; }
  [[nodiscard]] const std::optional<ConfigChanged>& record() const { return fields_.record; }
  [[nodiscard]] const std::optional<Plan>& current_plan() const { return fields_.current_plan; }
  [[nodiscard]] const PlanDifference& difference() const { return fields_.difference; }

  friend auto operator<=>(const PlanConfirmation&, const PlanConfirmation&) = default;

 private:
  Fields fields_;
};

}  // namespace clementineloom
