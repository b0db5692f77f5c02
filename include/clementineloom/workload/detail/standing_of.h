#pragma once

#include <cstdint>

#include "clementineloom/workload/detail/objective_standing.h"
#include "clementineloom/workload/detail/start_candidate.h"

namespace clementineloom::workload::detail {

/// @brief The standing of a step's job, by the caller's estimates of the work that remains.
///
/// The objective of a job is a multiple of its critical path and a fixed latency, both set by its
/// queue. Thread safety: a pure function. Complexity: linear in the dependencies of the job.
[[nodiscard]] ObjectiveStanding StandingOf(const StartCandidate& step, std::int64_t unix_now_ms);

}  // namespace clementineloom::workload::detail
