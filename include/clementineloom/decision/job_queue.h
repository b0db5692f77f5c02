#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "clementineloom/decision/queued_job.h"
#include "clementineloom/state/cluster_state.h"

namespace clementineloom {

/// @brief Orders waiting jobs by rank, then by the share of its guarantees that the team holds
/// (least first), then by age.
///
/// Thread safety: none; lives for one pass.
class JobQueue {
 public:
  /// @param jobs waiting jobs in any order
  JobQueue(const ClusterState& state, std::vector<QueuedJob> jobs);

  /// @brief Removes and returns the next job, or nothing if the queue is empty.
  [[nodiscard]] std::optional<QueuedJob> Next();
  /// @brief Puts a job that Next returned back with a new rank.
  void Requeue(const QueuedJob& job);
  /// @brief Adds accelerators allocated in this pass to the team's share.
  void Grant(TeamId team, std::uint32_t accelerators);

 private:
  /// The position of a team, given by its next job.
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
