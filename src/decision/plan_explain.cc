#include "clementineloom/decision/plan_explain.h"

#include <cstdint>
#include <string>

#include "clementineloom/decision/plan_capacity.h"
#include "clementineloom/state/cell_units.h"

namespace clementineloom {
namespace {

std::string DomainName(Adjacency adjacency) {
  switch (adjacency) {
    case Adjacency::kWorker:
      return "worker";
    case Adjacency::kRack:
      return "rack";
    case Adjacency::kDataCentre:
      break;
  }
  return "data centre";
}

// For example "3 workers of one rack with 8 accelerators each".
std::string ShapeText(const GangShape& shape) {
  const std::string accelerators = std::to_string(shape.accelerators_per_worker());
  if (shape.workers() == 1) {
    return "1 worker with " + accelerators + " accelerators";
  }
  return std::to_string(shape.workers()) + " workers of one " + DomainName(shape.adjacency()) +
         " with " + accelerators + " accelerators each";
}

// Whether the shape fits into a guarantee of the team at all, and whether such a guarantee has free
// capacity.
struct GuaranteeRoom {
  bool fits = false;
  bool has_room = false;
};

GuaranteeRoom RoomInGuarantees(const TeamEntry& team, const GangShape& shape) {
  GuaranteeRoom room;
  for (std::size_t n = 0; n < team.cells.size(); ++n) {
    const GangShape& guaranteed = team.team.guarantees()[n].shape();
    if (!FitsInCell(guaranteed, shape)) {
      continue;
    }
    room.fits = true;
    for (const CellUse& it : team.cells[n]) {
      room.has_room |= it.units + CellUnits(guaranteed, shape) <= CellCapacity(guaranteed);
    }
  }
  return room;
}

JobExplanation ExplainWaiting(const ClusterState& state, JobId id, const JobEntry& job) {
  const GangShape& shape = job.spec->shape();
  const TeamEntry& team = state.team(job.team);
  const std::string needs = "The job needs " + ShapeText(shape);
  const PlanCapacity capacity = PlanCapacity::Of(state, shape);
  if (capacity.configured < shape.workers()) {
    return {id, PlanWaitCause::kNeverFits,
            needs + ", and at most " + std::to_string(capacity.configured) + " exist."};
  }
  if (capacity.in_service < shape.workers()) {
    return {id, PlanWaitCause::kOutOfService,
            needs + ", and at most " + std::to_string(capacity.in_service) + " are in service."};
  }
  const GuaranteeRoom room = RoomInGuarantees(team, shape);
  const bool is_free = capacity.free >= shape.workers();
  if (room.has_room && !is_free) {
    return {
        id, PlanWaitCause::kReclaim,
        needs + ", which its team's guarantee has room for, and borrowers have to leave first."};
  }
  if (!room.has_room && !team.team.may_borrow()) {
    return {id, PlanWaitCause::kGuaranteeInUse,
            room.fits
                ? needs + ", its team's guarantees are in use, and the team may not borrow."
                : needs + ", no guarantee of its team fits that, and the team may not borrow."};
  }
  if (is_free) {
    return {id, PlanWaitCause::kRoomKept,
            needs + ", which are free but kept for guarantees or for jobs before it."};
  }
  return {id, PlanWaitCause::kNoRoom,
          needs + ", and at most " + std::to_string(capacity.free) + " are free."};
}

}  // namespace

JobExplanation Explain(const ClusterState& state, JobId id) {
  const JobEntry* job = state.FindJob(id);
  if (job == nullptr) {
    return {id, PlanWaitCause::kUnknownJob, "The job is not known, or ended long ago."};
  }
  switch (job->phase) {
    case JobPhase::kWaiting:
      return ExplainWaiting(state, id, *job);
    case JobPhase::kStopping:
      return {id, PlanWaitCause::kStopping,
              "The job is stopping and its workers are not yet free."};
    case JobPhase::kPlaced:
      return {id, PlanWaitCause::kNotWaiting, "The job has workers and is starting."};
    case JobPhase::kRunning:
      return {id, PlanWaitCause::kNotWaiting, "The job is running."};
    case JobPhase::kEnded:
      break;
  }
  return {id, PlanWaitCause::kNotWaiting, "The job has ended."};
}

}  // namespace clementineloom
