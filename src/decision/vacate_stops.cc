#include "clementineloom/decision/vacate_stops.h"

namespace clementineloom {
namespace {

StopReason ReasonFor(const ClusterState& state, const WorkerEntry& worker) {
  if (worker.condition == WorkerCondition::kLost) {
    return StopReason::kWorkerLost;
  }
  const bool in_service = state.data_centre(worker.data_centre).data_centre.in_service();
  return in_service ? StopReason::kWorkerLeaving : StopReason::kDataCentreOut;
}

}  // namespace

std::vector<StopRequested> VacateStops(const ClusterState& state,
                                       const std::set<WorkerId>& workers) {
  std::vector<StopRequested> stops;
  std::set<JobId> seen;
  for (const WorkerId worker : workers) {
    const WorkerEntry& entry = state.worker(worker);
    for (const JobId job : entry.jobs) {
      const JobEntry& it = *state.FindJob(job);
      if (it.phase != JobPhase::kStopping && seen.insert(job).second) {
        stops.push_back({job, it.attempt, ReasonFor(state, entry), std::nullopt});
      }
    }
  }
  return stops;
}

}  // namespace clementineloom
