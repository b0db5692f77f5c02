#include "support/upkeep.h"

#include <algorithm>
#include <cstdint>

namespace clementineloom::bench {
namespace {

constexpr std::uint16_t kFailuresToQuarantine = 3;

StopReason ReasonToStop(const ClusterState& state, const JobEntry& job) {
  for (const Allocation& it : job.allocations) {
    const WorkerEntry& worker = state.worker(it.worker());
    if (worker.condition == WorkerCondition::kLost) {
      return StopReason::kWorkerLost;
    }
    if (!state.data_centre(worker.data_centre).data_centre.in_service()) {
      return StopReason::kDataCentreOut;
    }
  }
  return StopReason::kNone;
}

std::uint32_t CapableWorkers(const ClusterState& state, const RackEntry& rack,
                             const GangShape& shape) {
  const auto is_capable = [&](WorkerId id) {
    return state.worker(id).accelerators >= shape.accelerators_per_worker();
  };
  return static_cast<std::uint32_t>(std::ranges::count_if(rack.workers, is_capable));
}

// Uses the configured capacity, so that jobs are not refused while capacity is temporarily absent.
bool CanEverFit(const ClusterState& state, const GangShape& shape) {
  for (const DataCentreEntry& data_centre : state.data_centres()) {
    std::uint32_t in_data_centre = 0;
    for (const RackId id : data_centre.racks) {
      const std::uint32_t in_rack = CapableWorkers(state, state.rack(id), shape);
      in_data_centre += in_rack;
      if (in_rack >= shape.workers()) {
        return true;
      }
    }
    if (shape.adjacency() == Adjacency::kDataCentre && in_data_centre >= shape.workers()) {
      return true;
    }
  }
  return false;
}

}  // namespace

std::vector<RecordBody> UpkeepRecords(const ClusterState& state) {
  std::vector<RecordBody> records;
  for (const JobId id : state.active_jobs()) {
    const JobEntry& job = *state.FindJob(id);
    const StopReason reason = ReasonToStop(state, job);
    if (reason != StopReason::kNone && job.phase != JobPhase::kStopping) {
      records.emplace_back(StopRequested{id, job.attempt, reason, std::nullopt});
    }
  }
  for (const JobId id : state.waiting_jobs()) {
    if (!CanEverFit(state, state.FindJob(id)->spec->shape())) {
      records.emplace_back(JobRefused{id, ResultCode::kJobNeverFits});
    }
  }
  for (const WorkerEntry& it : state.workers()) {
    if (it.condition == WorkerCondition::kLive &&
        it.consecutive_failures >= kFailuresToQuarantine) {
      records.emplace_back(
          WorkerConditionChanged{it.name, WorkerCondition::kQuarantined, "fails what it starts"});
    }
  }
  return records;
}

}  // namespace clementineloom::bench
