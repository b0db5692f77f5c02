#pragma once

#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "clementineloom/workload/job_submission.h"
#include "clementineloom/workload/job_table.h"
#include "clementineloom/workload/quota_excess.h"
#include "clementineloom/workload/team_access.h"
#include "clementineloom/workload/team_use.h"
#include "clementineloom/workload/worker_pool.h"

namespace clementineloom::workload {

/// @brief Whether the runs of a team, in any stage, hold more than its quota.
/// Complexity: O(runs) where a team has limits. Thread safety: a pure function.
[[nodiscard]] bool IsOverQuota(const JobTable& jobs, const WorkerPool& workers,
                               std::span<const TeamAccess> teams, std::string_view team);

/// @brief The first resource of which a job needs more at once than a team may ever hold: for one
/// task, or for all tasks of a gang. Nothing if the quota can hold each step.
/// Thread safety: a pure function.
[[nodiscard]] std::optional<QuotaExcess> FindQuotaExcess(const JobSubmission& submission,
                                                         const TeamAccess& team);

/// @brief What each team with runs, waiting jobs or limits holds; nothing where no team has limits.
/// Complexity: O(runs + jobs). Thread safety: a pure function.
[[nodiscard]] std::vector<TeamUse> UseOfTeams(const JobTable& jobs, const WorkerPool& workers,
                                              std::span<const TeamAccess> teams);

}  // namespace clementineloom::workload
