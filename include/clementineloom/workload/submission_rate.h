#pragma once

#include <span>
#include <string>
#include <vector>

#include "clementineloom/workload/job_table.h"
#include "clementineloom/workload/team_access.h"

namespace clementineloom::workload {

/// @brief The open jobs that their teams submitted beyond their rates, in the order of their ids.
///
/// A team may submit as many jobs a second as its weight says, and those of some seconds at once; a
/// team without a weight has no rate. The answer follows from the acceptance times in the table
/// alone, so that every instance and every new owner gets the same one.
/// Load: one team submits many times as much as usual, while the others keep to their rates.
/// Complexity: O(jobs * log(jobs)). Thread safety: a pure function.
[[nodiscard]] std::vector<std::string> JobsBeyondRate(const JobTable& jobs,
                                                      std::span<const TeamAccess> teams);

/// @brief Whether one more job of a team at a time is within the team's rate.
/// Complexity: O(jobs * log(jobs)). Thread safety: a pure function.
[[nodiscard]] bool IsWithinRate(const JobTable& jobs, const TeamAccess& team, std::int64_t now_ms);

/// @brief Whether a team's guarantee covers a job beside its open urgent jobs; not for a job that
/// is not urgent. Complexity: O(tasks of open jobs). Thread safety: a pure function.
[[nodiscard]] bool IsWithinGuarantee(const JobTable& jobs, const TeamAccess& team,
                                     const JobSubmission& submission);

}  // namespace clementineloom::workload
