#pragma once

#include <utility>
#include <vector>

#include "clementineloom/errors/result_code.h"
#include "clementineloom/model/job_id.h"

namespace clementineloom {

/// @brief The result of validating a record. An immutable value.
///
/// Not a Result, because a void record is no error: every replica computes the same outcome.
class ApplyOutcome {
 public:
  struct Fields {
    ResultCode code = ResultCode::kOk;
    /// For JobsPlaced: one code for each placement, in order.
    std::vector<ResultCode> placement_codes;
    /// For JobSubmitted: the new job, or the one submitted before under the same key.
    JobId job;

    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  explicit ApplyOutcome(ResultCode code) : fields_{code, {}, {}} {}
  explicit ApplyOutcome(Fields fields) : fields_(std::move(fields)) {}

  [[nodiscard]] bool accepted() const { return fields_.code == ResultCode::kOk; }
  [[nodiscard]] ResultCode code() const { return fields_.code; }
  [[nodiscard]] const std::vector<ResultCode>& placement_codes() const {
    return fields_.placement_codes;
  }
  [[nodiscard]] JobId job() const { return fields_.job; }

  friend auto operator<=>(const ApplyOutcome&, const ApplyOutcome&) = default;

 private:
  Fields fields_;
};

}  // namespace clementineloom
