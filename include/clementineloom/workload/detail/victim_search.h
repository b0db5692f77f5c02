#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "clementineloom/workload/detail/service_budget.h"
#include "clementineloom/workload/detail/start_candidate.h"
#include "clementineloom/workload/detail/victim.h"
#include "clementineloom/workload/detail/victim_set.h"
#include "clementineloom/workload/detail/worker_room.h"
#include "clementineloom/workload/job_table.h"
#include "clementineloom/workload/steady_time.h"

namespace clementineloom::workload::detail {

/// @brief The runs on a worker that may be stopped for a task of a priority, the cheapest first.
///
/// A member of a gang counts with the work of the whole gang. Service tasks are listed as far as
/// their budget goes, behind all others. Complexity: O(runs * log(runs)).
[[nodiscard]] std::vector<Victim> VictimsOn(const PoolWorker& worker, std::uint32_t priority,
                                            const JobTable& jobs, SteadyTime now,
                                            ServiceBudget& services);

/// @brief The cheapest victims whose end makes room for one more task of a step on a worker; an
/// empty set if there is room once the runs that are being stopped have ended.
///
/// Precondition: the victims of the room are listed. Complexity: O(victims).
/// @return nothing if no set makes enough room
[[nodiscard]] std::optional<VictimSet> FindVictims(const WorkerRoom& room,
                                                   const StartCandidate& step);

}  // namespace clementineloom::workload::detail
