#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "clementineloom/workload/detail/start_candidate.h"
#include "clementineloom/workload/detail/team_usage.h"
#include "clementineloom/workload/job_table.h"
#include "clementineloom/workload/plan_request.h"
#include "clementineloom/workload/team_access.h"
#include "clementineloom/workload/worker_pool.h"

namespace clementineloom::workload::detail {

/// @brief What the runs of each team hold on all workers: runs that are recorded, ordered with an
/// unknown outcome, running, or being stopped all count until they are known to have ended.
///
/// Empty, and without any effect, where no team has a quota or a weight. Thread safety: none.
class TeamUsageTable {
 public:
  /// Index of a team.
  using Team = std::size_t;

  /// Complexity: O(runs) where a team has a quota or a weight.
  TeamUsageTable(const JobTable& jobs, const WorkerPool& workers,
                 std::span<const TeamAccess> teams);

  /// @brief The table of a plan, with the parts of the quotas that are kept for urgent work.
  [[nodiscard]] static TeamUsageTable ForPlan(const PlanRequest& request);

  /// @brief Whether teams share a full fleet by weights.
  [[nodiscard]] bool has_weights() const { return has_weights_; }

  /// @brief The team of a job, or nothing if teams are not counted.
  [[nodiscard]] std::optional<Team> TeamOf(const JobEntry& job) const;

  /// @brief All counted teams, by name.
  [[nodiscard]] const std::map<std::string, Team, std::less<>>& indexes() const { return indexes_; }

  /// @brief Precondition: the index is one of this table.
  [[nodiscard]] const TeamUsage& Of(Team team) const { return teams_[team]; }

  /// @brief How many of the tasks of a step its team's quota admits now.
  [[nodiscard]] std::int64_t AdmittedTasks(const StartCandidate& step) const;

  /// @brief Counts what tasks of a step hold as being stopped. Precondition: the index is one of
  /// this table.
  void Stop(Team team, const Resources& amount) {
    teams_[team].stopping = teams_[team].stopping + amount;
  }

  /// @brief Whether the team's quota admits all tasks of a step once the team holds nothing else.
  [[nodiscard]] bool MayEverHold(const StartCandidate& step) const;

  /// @brief Counts tasks of a step as held.
  void Take(const StartCandidate& step, std::int64_t tasks);

  /// @brief The weighted share of a team. Precondition: the index is one of this table.
  [[nodiscard]] double WeightedShareOf(Team team) const {
    return teams_[team].WeightedShare(fleet_);
  }

  /// @brief Whether a team holds more than its part of the fleet, which is divided by weight among
  /// the teams with runs. Precondition: the index is one of this table.
  [[nodiscard]] bool IsAboveShare(Team team) const {
    return WeightedShareOf(team) * active_weight_ > 1;
  }

 private:
  struct JobOwner {
    const JobEntry* job = nullptr;
    Team team = 0;
  };

  // Keeps a part of a team's quota from its less urgent steps, as far as its urgent runs do not
  // hold it. Less than half of a quota is kept, so that other work gets most of it.
  void Reserve(const std::string& team, std::int64_t urgent_accelerators);
  // The team of a job; without a job if its submission is not known.
  JobOwner OwnerOf(const JobEntry* job);
  // The index of a team, which is added without limits if the configuration does not name it.
  Team IndexOf(const std::string& team);
  void CountRuns(const JobTable& jobs, const WorkerPool& workers);

  std::vector<TeamUsage> teams_;
  std::map<std::string, Team, std::less<>> indexes_;
  Resources fleet_;
  // Sum of the weights of the teams with runs.
  double active_weight_ = 0;
  bool has_weights_ = false;
};

}  // namespace clementineloom::workload::detail
