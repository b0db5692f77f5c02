#include "clementineloom/workload/detail/standing_of.h"

#include <algorithm>

#include "clementineloom/workload/detail/critical_path.h"

namespace clementineloom::workload::detail {
namespace {

// A result is of use to its caller up to this multiple of the objective.
constexpr std::int64_t kUsefulObjectives = 3;

}  // namespace

bool RunsUntilCancelled(const JobSubmission& submission) {
  return std::any_of(submission.steps.begin(), submission.steps.end(),
                     [](const StepSpec& it) { return it.runs_until_cancelled; });
}

std::int64_t ObjectiveMs(const JobSubmission& submission) {
  const auto path_ms = static_cast<double>(CriticalPathMs(submission.steps));
  return static_cast<std::int64_t>(submission.queue.stretch * path_ms) +
         submission.queue.target_latency_ms;
}

ObjectiveStanding StandingOf(const StartCandidate& step, std::int64_t unix_now_ms) {
  const JobSubmission& submission = *step.job->submission;
  if (RunsUntilCancelled(submission)) {
    return ObjectiveStanding::kReachable;
  }
  const std::int64_t objective_ms = ObjectiveMs(submission);
  const std::int64_t ends_after_ms =
      unix_now_ms - step.due_at_ms + CriticalPathFromMs(submission.steps, step.step.step);
  // Without an objective no end is late.
  if (objective_ms == 0 || ends_after_ms <= objective_ms) {
    return ObjectiveStanding::kReachable;
  }
  return ends_after_ms <= kUsefulObjectives * objective_ms ? ObjectiveStanding::kLate
                                                           : ObjectiveStanding::kMissed;
}

double MinSpeedOf(const StartCandidate& step, std::int64_t unix_now_ms) {
  // For the start itself, and for the progress that is reported late.
  constexpr double kMargin = 1.1;
  const JobSubmission& submission = *step.job->submission;
  const std::int64_t objective_ms = ObjectiveMs(submission);
  if (objective_ms == 0 || RunsUntilCancelled(submission)) {
    return 0;
  }
  const auto left_ms = static_cast<double>(objective_ms - (unix_now_ms - step.due_at_ms));
  const auto path_ms = static_cast<double>(CriticalPathFromMs(submission.steps, step.step.step));
  return left_ms <= 0 ? 1 : std::min(1.0, kMargin * path_ms / left_ms);
}

}  // namespace clementineloom::workload::detail
