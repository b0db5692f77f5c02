#pragma once

#include <optional>
#include <vector>

#include "clementineloom/workload/detail/disruption_budget.h"
#include "clementineloom/workload/detail/guarantee_table.h"
#include "clementineloom/workload/detail/reclaim_budget.h"
#include "clementineloom/workload/detail/start_candidate.h"
#include "clementineloom/workload/detail/team_usage_table.h"
#include "clementineloom/workload/detail/victim.h"
#include "clementineloom/workload/detail/victim_set.h"
#include "clementineloom/workload/detail/worker_room.h"
#include "clementineloom/workload/plan_request.h"

namespace clementineloom::workload::detail {

/// @brief The runs on a worker that may be stopped for an urgent task, the cheapest first: less
/// urgent ones, and urgent ones as far as a budget of their team's guarantee allows. Where teams
/// share the fleet by weights, runs of teams above their shares come before those of others.
///
/// The cost of a gang member is that of the whole gang. Service tasks are listed as far as their
/// budget goes, behind all others. Complexity: O(runs * log(runs)).
[[nodiscard]] std::vector<Victim> VictimsOn(const PoolWorker& worker, const PlanRequest& request,
                                            const GuaranteeTable& guarantees,
                                            const TeamUsageTable& usage,
                                            DisruptionBudget& disruptions);

/// @brief The cheapest victims whose end makes room for one more task of a step on a worker; an
/// empty set if there is room once the runs that are being stopped have ended.
///
/// Urgent runs are stopped only for a step that may reclaim.
/// Precondition: the victims of the room are listed. Complexity: O(victims^2).
/// @param limit the set has to cost less, if not null
/// @return nothing if no set makes enough room, or none below the limit
[[nodiscard]] std::optional<VictimSet> FindVictims(const WorkerRoom& room,
                                                   const StartCandidate& step,
                                                   const ReclaimBudget& budget,
                                                   const StopCost* limit);

}  // namespace clementineloom::workload::detail
