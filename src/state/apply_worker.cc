#include "clementineloom/state/cluster_state.h"

namespace clementineloom {

ApplyOutcome ClusterState::ApplyBody(LogOffset offset, const WorkerRegistered& body) {
  const auto data_centre = FindDataCentre(body.worker.data_centre());
  if (!data_centre) {
    return ApplyOutcome(ResultCode::kUnknownDataCentre);
  }
  const auto known = FindWorker(body.worker.name());
  if (known && worker(*known).condition != WorkerCondition::kLost) {
    return ApplyOutcome(ResultCode::kDuplicateId);
  }
  if (known && !worker(*known).jobs.empty()) {
    // Attempts on the lost instance have to be released before its name can be reused.
    return ApplyOutcome(ResultCode::kWorkerUnavailable);
  }
  const RackId rack = FindOrAddRack(body.worker.rack(), *data_centre);
  const std::optional<WorkerId> replaced = known ? known : FindReusableWorkerId(rack);
  const WorkerId id = replaced.value_or(WorkerId(static_cast<std::uint32_t>(workers_.size())));
  WorkerEntry entry{.name = body.worker.name(),
                    .address = body.worker.address(),
                    .rack = rack,
                    .data_centre = *data_centre,
                    .accelerators = body.worker.accelerators(),
                    .free_accelerators = body.worker.accelerators(),
                    .slots = body.worker.slots(),
                    .connections = body.worker.connections(),
                    .consecutive_failures = 0,
                    .condition = WorkerCondition::kLive,
                    .jobs = {}};
  if (!replaced) {
    workers_.push_back(std::move(entry));
  } else {
    std::erase(racks_[worker(id).rack.value()].workers, id);
    worker_names_.erase(worker(id).name);
    workers_[id.value()] = std::move(entry);
  }
  worker_names_.emplace(body.worker.name(), id);
  racks_[rack.value()].workers.push_back(id);
  journal_.Add(id);
  guarantee_epoch_ = offset;
  return ApplyOutcome(ResultCode::kOk);
}

// A new instance reuses the id of a lost worker of its rack, so that 4,600 replacements a day do
// not grow the state.
std::optional<WorkerId> ClusterState::FindReusableWorkerId(RackId rack) const {
  for (const WorkerId it : racks_[rack.value()].workers) {
    if (worker(it).condition == WorkerCondition::kLost && worker(it).jobs.empty()) {
      return it;
    }
  }
  return std::nullopt;
}

ApplyOutcome ClusterState::ApplyBody(LogOffset offset, const WorkerConditionChanged& body) {
  const auto id = FindWorker(body.worker);
  if (!id) {
    return ApplyOutcome(ResultCode::kUnknownWorker);
  }
  WorkerEntry& entry = workers_[id->value()];
  if (entry.condition == WorkerCondition::kLost) {
    // A lost worker becomes live again only through a new registration.
    return ApplyOutcome(ResultCode::kWorkerUnavailable);
  }
  entry.condition = body.condition;
  if (body.condition == WorkerCondition::kLive) {
    entry.consecutive_failures = 0;
  }
  journal_.Add(*id);
  guarantee_epoch_ = offset;
  return ApplyOutcome(ResultCode::kOk);
}

RackId ClusterState::FindOrAddRack(const std::string& name, DataCentreId data_centre) {
  const std::string full_name = data_centres_[data_centre.value()].data_centre.name() + "/" + name;
  const RackId next(static_cast<std::uint32_t>(racks_.size()));
  const auto [it, inserted] = rack_names_.emplace(full_name, next);
  if (inserted) {
    racks_.push_back(RackEntry{.name = name, .data_centre = data_centre, .workers = {}});
    data_centres_[data_centre.value()].racks.push_back(next);
  }
  return it->second;
}

}  // namespace clementineloom
