#pragma once

#include "clementineloom/errors/result_code.h"
#include "clementineloom/model/job_id.h"

namespace clementineloom {

/// @brief A waiting job ends: it can never run with the configured capacity (kJobNeverFits), or it
/// has exhausted its retry budget (kRetryBudgetExhausted) and ends as failed.
struct JobRefused {
  const JobId job;
  const ResultCode code = ResultCode::kJobNeverFits;

  friend auto operator<=>(const JobRefused&, const JobRefused&) = default;
};

}  // namespace clementineloom
