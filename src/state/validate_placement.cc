#include <algorithm>
#include <vector>

#include "clementineloom/state/cell_units.h"
#include "clementineloom/state/cluster_state.h"

namespace clementineloom {

ResultCode ClusterState::ValidatePlacement(LogOffset decided_at, const Placement& placement) const {
  const JobEntry* job = FindJob(placement.job());
  if (job == nullptr) {
    return ResultCode::kUnknownJob;
  }
  if (job->phase != JobPhase::kWaiting) {
    return ResultCode::kJobNotWaiting;
  }
  if (placement.attempt() != job->attempt + 1) {
    return ResultCode::kWrongAttempt;
  }
  if (const ResultCode code = ValidateWorkers(job->spec->shape(), placement);
      code != ResultCode::kOk) {
    return code;
  }
  if (placement.kind() == CapacityKind::kBorrowed) {
    return ResultCode::kOk;
  }
  return ValidateGuarantee(decided_at, *job, placement);
}

ResultCode ClusterState::ValidateWorkers(const GangShape& shape, const Placement& placement) const {
  const auto& allocations = placement.allocations();
  if (allocations.size() != shape.workers()) {
    return ResultCode::kWrongShape;
  }
  std::vector<WorkerId> used;
  used.reserve(allocations.size());
  for (const Allocation& it : allocations) {
    if (it.accelerators() != shape.accelerators_per_worker()) {
      return ResultCode::kWrongShape;
    }
    if (it.worker().value() >= workers_.size()) {
      return ResultCode::kUnknownWorker;
    }
    const WorkerEntry& entry = worker(it.worker());
    if (entry.condition != WorkerCondition::kLive) {
      return ResultCode::kWorkerUnavailable;
    }
    if (!data_centre(entry.data_centre).data_centre.in_service()) {
      return ResultCode::kDataCentreOutOfService;
    }
    if (entry.free_accelerators < it.accelerators()) {
      return ResultCode::kAcceleratorsNotFree;
    }
    used.push_back(it.worker());
  }
  std::ranges::sort(used);
  if (std::ranges::adjacent_find(used) != used.end()) {
    return ResultCode::kWrongShape;
  }
  const std::uint32_t domain = DomainOf(used.front(), shape.adjacency());
  const bool is_adjacent = std::ranges::all_of(
      used, [&](WorkerId it) { return DomainOf(it, shape.adjacency()) == domain; });
  return is_adjacent ? ResultCode::kOk : ResultCode::kAdjacencyViolated;
}

ResultCode ClusterState::ValidateGuarantee(LogOffset decided_at, const JobEntry& job,
                                           const Placement& placement) const {
  if (decided_at < guarantee_epoch_) {
    return ResultCode::kDecisionOvertaken;
  }
  const TeamEntry& entry = team(job.team);
  const std::size_t n = placement.guarantee_index();
  if (n >= entry.cells.size() || placement.guarantee_instance() >= entry.cells[n].size()) {
    return ResultCode::kGuaranteeExhausted;
  }
  const GangShape& shape = entry.team.guarantees()[n].shape();
  if (!FitsInCell(shape, job.spec->shape())) {
    return ResultCode::kWrongShape;
  }
  const CellUse& cell = entry.cells[n][placement.guarantee_instance()];
  if (cell.units + CellUnits(shape, job.spec->shape()) > CellCapacity(shape)) {
    return ResultCode::kGuaranteeExhausted;
  }
  const std::uint32_t domain = CellDomainOf(placement.allocations().front().worker(), shape);
  return cell.units > 0 && cell.domain != domain ? ResultCode::kAdjacencyViolated : ResultCode::kOk;
}

std::uint32_t ClusterState::CellDomainOf(WorkerId id, const GangShape& guaranteed) const {
  return DomainOf(id, guaranteed.workers() == 1 ? Adjacency::kWorker : guaranteed.adjacency());
}

std::uint32_t ClusterState::DomainOf(WorkerId id, Adjacency adjacency) const {
  switch (adjacency) {
    case Adjacency::kWorker:
      return id.value();
    case Adjacency::kRack:
      return worker(id).rack.value();
    case Adjacency::kDataCentre:
      break;
  }
  return worker(id).data_centre.value();
}

}  // namespace clementineloom
