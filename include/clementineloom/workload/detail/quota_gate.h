#pragma once

#include <cstddef>
#include <set>

#include "clementineloom/workload/detail/room_table.h"
#include "clementineloom/workload/detail/start_candidate.h"
#include "clementineloom/workload/detail/team_usage_table.h"

namespace clementineloom::workload::detail {

/// @brief Keeps the starts of a plan within the quotas of the teams.
///
/// Load: a team submits more than its quota holds, or its quota falls below what it runs. What runs
/// goes on; nothing starts until there is room. A gang that waits for room in the quota keeps later
/// steps of its team from taking that room, since many small steps would otherwise never leave
/// enough of it. Thread safety: none.
class QuotaGate {
 public:
  /// Precondition: the references outlive the gate.
  QuotaGate(TeamUsageTable& usage, const RoomTable& rooms) : usage_(usage), rooms_(rooms) {}

  /// @brief How many of the tasks of a step its team's quota admits now; none of a gang that it
  /// does not admit whole.
  std::size_t Admit(const StartCandidate& step);

  /// @brief Counts tasks of a step as held. Precondition: Admit has admitted as many.
  void Take(const StartCandidate& step, std::size_t tasks);

 private:
  TeamUsageTable& usage_;
  const RoomTable& rooms_;
  // Teams of which a gang waits for room in the quota.
  std::set<TeamUsageTable::Team> waiting_teams_;
};

}  // namespace clementineloom::workload::detail
