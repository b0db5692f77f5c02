#pragma once

#include <cstddef>
#include <limits>
#include <span>
#include <vector>

#include "clementineloom/workload/detail/start_candidate.h"
#include "clementineloom/workload/detail/team_usage_table.h"

namespace clementineloom::workload::detail {

/// @brief Hands out steps of one rank so that the next one is always of the team with the lowest
/// weighted dominant share; the steps of a team keep their order.
///
/// Load: one team submits many times as much as the others to a full fleet. By age alone, its steps
/// would get nearly all room that gets free. Thread safety: none.
class ShareOrder {
 public:
  /// @param steps of one rank, in the order in which they go without shares
  /// @param usage has to outlive the order; what is taken in it between two steps counts
  ShareOrder(std::span<StartCandidate> steps, const TeamUsageTable& usage);

  /// @brief The next step, or null once all were handed out. Complexity: O(teams).
  StartCandidate* Next();

 private:
  struct TeamQueue {
    // Stands for all teams where none has a weight.
    static constexpr TeamUsageTable::Team kNoTeam =
        std::numeric_limits<TeamUsageTable::Team>::max();

    TeamUsageTable::Team team = kNoTeam;
    std::vector<StartCandidate*> steps;
    std::size_t next = 0;
  };

  const TeamUsageTable& usage_;
  std::vector<TeamQueue> queues_;
};

}  // namespace clementineloom::workload::detail
