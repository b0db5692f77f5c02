#pragma once

#include <cstddef>
#include <set>
#include <utility>
#include <vector>

#include "clementineloom/model/gang_shape.h"
#include "clementineloom/model/job_id.h"
#include "clementineloom/model/team_id.h"

namespace clementineloom {

/// @brief Jobs for which a scheduling pass found no capacity. An equal shape of the same team is
/// not searched for again in that pass. Thread safety: none; lives for one pass.
class BlockedJobs {
 public:
  void Add(JobId job, TeamId team, const GangShape& shape) {
    jobs_.push_back(job);
    shapes_.emplace(team, shape);
  }
  [[nodiscard]] bool Contains(TeamId team, const GangShape& shape) const {
    return shapes_.contains({team, shape});
  }
  /// @brief In the order in which they were tried.
  [[nodiscard]] const std::vector<JobId>& jobs() const { return jobs_; }

 private:
  std::vector<JobId> jobs_;
  std::set<std::pair<TeamId, GangShape>> shapes_;
};

}  // namespace clementineloom
