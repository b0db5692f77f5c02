#pragma once

#include <optional>
#include <string>

#include "clementineloom/workload/job_submission.h"
#include "clementineloom/workload/team_quota.h"
#include "entry/caller/limit_refusal.h"
#include "entry/election/ownership.h"
#include "entry/operator/operator_view.h"
#include "entry/port/call_port.h"

namespace clementineloom::entry {

/// @brief Checks submissions against the limits of their teams, before anything is stored.
///
/// Every instance refuses what the quota can never hold. What a team submits beyond its rate is
/// refused by the owner only: it alone knows the room that is left.
/// Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class SubmissionLimits {
 public:
  /// Precondition: the references outlive the limits.
  SubmissionLimits(const OperatorView& operators, const Ownership<Platform, Port>& ownership)
      : operators_(operators), ownership_(ownership) {}

  /// @brief The refusal of a submission, or nothing if it may be stored.
  [[nodiscard]] std::optional<LimitRefusal> Check(const workload::JobSubmission& submission) const {
    const auto& config = operators_.config();
    const workload::TeamAccess* team = config ? config->FindTeam(submission.team) : nullptr;
    if (team == nullptr) {
      return std::nullopt;
    }
    if (const auto excess = workload::FindQuotaExcess(submission, *team)) {
      return LimitRefusal{
          {ResultCode::kQuotaExceeded, RunState::kDidNotRun, QuotaDetail(submission, *excess)},
          kRetryAfterQuota};
    }
    if (const auto refusal = ownership_.RateRefusalOf(submission, *team)) {
      return LimitRefusal{
          {ResultCode::kRateExceeded, RunState::kDidNotRun, RateDetail(submission, *refusal)},
          refusal->retry_after};
    }
    return std::nullopt;
  }

 private:
  // The operators have to raise the quota first.
  static constexpr std::chrono::seconds kRetryAfterQuota{60};

  static std::string QuotaDetail(const workload::JobSubmission& submission,
                                 const workload::QuotaExcess& excess) {
    return "step " + std::to_string(excess.step) + " needs " + std::to_string(excess.needed) + " " +
           std::string(excess.resource) + " at once; the quota of team " + submission.team +
           " is " + std::to_string(excess.quota);
  }

  static std::string RateDetail(const workload::JobSubmission& submission,
                                const workload::RateRefusal& refusal) {
    return "team " + submission.team + " submits more than its rate, and the job would wait " +
           std::to_string(refusal.expected_wait.count()) + " ms for room";
  }

  const OperatorView& operators_;
  const Ownership<Platform, Port>& ownership_;
};

}  // namespace clementineloom::entry
