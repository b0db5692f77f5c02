#pragma once

#include <cstdint>
#include <optional>

#include "clementineloom/errors/refusal.h"
#include "clementineloom/routing/retry_budget.h"
#include "clementineloom/routing/retry_reason.h"

namespace clementineloom {

/// @brief Decides whether a failed attempt is repeated at another upstream.
///
/// A request that is not idempotent is repeated only after a refusal that says it did not run.
/// Thread safety: none, one thread owns it.
class RetryPolicy {
 public:
  /// @param max_attempts for one request, the first included
  RetryPolicy(std::uint32_t max_attempts, std::uint32_t budget_percent)
      : max_attempts_(max_attempts), budget_(budget_percent) {}

  /// @brief Counts a new request towards the budget.
  void AddRequest() { budget_.AddRequest(); }

  /// @param attempts made so far
  /// @return why the request is repeated, or nothing if it is not; a retry uses up budget.
  [[nodiscard]] std::optional<RetryReason> Decide(bool is_idempotent, std::uint32_t attempts,
                                                  const Refusal& refusal) {
    const bool did_not_run = refusal.run_state == RunState::kDidNotRun;
    if (attempts >= max_attempts_ || (!is_idempotent && !did_not_run) || !budget_.TryTake()) {
      return std::nullopt;
    }
    return did_not_run ? RetryReason::kDidNotRun : ReasonOf(refusal.code);
  }

 private:
  static RetryReason ReasonOf(ResultCode code) {
    switch (code) {
      case ResultCode::kUpstreamTimedOut:
        return RetryReason::kTimedOut;
      case ResultCode::kAnswerTruncated:
        return RetryReason::kTruncated;
      default:
        return RetryReason::kFailed;
    }
  }

  std::uint32_t max_attempts_;
  RetryBudget budget_;
};

}  // namespace clementineloom
