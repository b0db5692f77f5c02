#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "clementineloom/workload/detail/start_candidate.h"
#include "clementineloom/workload/detail/worker_room.h"
#include "clementineloom/workload/job_table.h"
#include "clementineloom/workload/steady_time.h"

namespace clementineloom::workload::detail {

/// @brief Runs to stop on a worker, so that one more task fits there.
struct VictimSet {
  std::vector<TaskRun> runs;
  /// Core-milliseconds of work that is thrown away.
  std::int64_t cost = 0;
};

/// @brief The cheapest set of less urgent runs whose end makes room for one more task of a step on
/// a worker; an empty set if there is room once the runs that are being stopped have ended.
///
/// Tasks that run until they are cancelled are not stopped. A member of a gang counts with the
/// work of the whole gang. Complexity: O(runs * log(runs)).
/// @return nothing if no set makes enough room
[[nodiscard]] std::optional<VictimSet> FindVictims(const WorkerRoom& room,
                                                   const StartCandidate& step, const JobTable& jobs,
                                                   SteadyTime now);

}  // namespace clementineloom::workload::detail
