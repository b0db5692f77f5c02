#pragma once

#include <vector>

#include "clementineloom/workload/detail/guarantee_table.h"
#include "clementineloom/workload/detail/room_table.h"
#include "clementineloom/workload/detail/start_candidate.h"
#include "clementineloom/workload/detail/team_usage_table.h"
#include "clementineloom/workload/preemption.h"

namespace clementineloom::workload::detail {

/// @brief Stops less urgent runs of a team for urgent tasks of the same team that its quota does
/// not admit beside them.
///
/// Load: a team fills its quota with batch work, and its urgent work, which may be guaranteed,
/// arrives. Thread safety: none.
class QuotaReclaim {
 public:
  /// Precondition: the references outlive it.
  QuotaReclaim(const GuaranteeTable& guarantees, TeamUsageTable& usage, RoomTable& rooms)
      : guarantees_(guarantees), usage_(usage), rooms_(rooms) {}

  /// @brief Stops the cheapest runs whose end, with that of the runs that are being stopped, lets
  /// the quota admit all tasks of a step; none if that is not enough.
  /// @return the runs to stop, one of each gang
  std::vector<Preemption> MakeRoom(const StartCandidate& step);

 private:
  struct Candidate {
    WorkerRoom* room = nullptr;
    Victim victim;
    // What ends with it.
    Resources freed;
  };

  // Less urgent runs of a team, one of each gang, the cheapest first.
  [[nodiscard]] std::vector<Candidate> RunsOf(TeamUsageTable::Team team) const;

  const GuaranteeTable& guarantees_;
  TeamUsageTable& usage_;
  RoomTable& rooms_;
};

}  // namespace clementineloom::workload::detail
