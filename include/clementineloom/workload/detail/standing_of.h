#pragma once

#include <cstdint>

#include "clementineloom/workload/detail/objective_standing.h"
#include "clementineloom/workload/detail/start_candidate.h"

namespace clementineloom::workload::detail {

/// @brief Whether a job has a step that runs until it is cancelled, so that it has no end that
/// could be late. Thread safety: a pure function.
[[nodiscard]] bool RunsUntilCancelled(const JobSubmission& submission);

/// @brief Time from the submission of a job within which it should end; 0 without an objective.
/// Thread safety: a pure function.
[[nodiscard]] std::int64_t ObjectiveMs(const JobSubmission& submission);

/// @brief The standing of a step's job, by the caller's estimates of the work that remains.
///
/// The objective of a job is a multiple of its critical path and a fixed latency, both set by its
/// queue. For a job with a step that runs until it is cancelled it is always reachable: the job has
/// no end that could be late, and its tasks have to be at work however long ago it was accepted.
/// Thread safety: a pure function. Complexity: linear in the dependencies of the job.
[[nodiscard]] ObjectiveStanding StandingOf(const StartCandidate& step, std::int64_t unix_now_ms);

/// @brief The least speed of a worker on which a step's job can still end within its objective if
/// the step starts now, by the estimates; at most 1, and 0 for a job without an objective.
/// Thread safety: a pure function.
[[nodiscard]] double MinSpeedOf(const StartCandidate& step, std::int64_t unix_now_ms);

}  // namespace clementineloom::workload::detail
