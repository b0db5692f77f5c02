#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "clementineloom/decision/queued_job.h"
#include "clementineloom/state/cluster_state.h"

namespace clementineloom {

/// @brief Gives waiting jobs in order: rank, then the team that holds least for its guarantees,
/// then age.
///
/// Thread safety: none; lives for one pass.
class JobQueue {
 public:
  /// @param jobs waiting jobs in any order
  JobQueue(const ClusterState& state, std::vector<QueuedJob> jobs);

  /// @brief The next job, or nothing at the end.
  [[nodiscard]] std::optional<QueuedJob> Next();
  /// @brief Gives a job that Next returned another turn, by its new rank.
  void Requeue(const QueuedJob& job);
  /// @brief Counts accelerators that the pass gave to a team.
  void Grant(TeamId team, std::uint32_t accelerators);

 private:
  /// A team's turn within a rank.
  struct Turn {
    QueueRank rank;
    double share;
    JobId job;
    TeamId team;

    friend auto operator<=>(const Turn&, const Turn&) = default;
  };

  [[nodiscard]] double ShareOf(TeamId team) const;
  void AddTurn(TeamId team);
  void RemoveTurn(TeamId team);

  const ClusterState* state_;
  /// By team; next job last.
  std::map<TeamId, std::vector<QueuedJob>> jobs_;
  std::map<TeamId, std::uint32_t> granted_;
  std::map<TeamId, std::uint32_t> guaranteed_;
  std::set<Turn> turns_;
};

}  // namespace clementineloom
