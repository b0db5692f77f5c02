#include "clementineloom/workload/detail/wait_description.h"

#include <algorithm>

namespace clementineloom::workload::detail {
namespace {

// A third of the time in which urgent work has to begin on most fleets.
constexpr std::int64_t kLongWaitMs = 1'000;

}  // namespace

std::optional<GuaranteeWait> DescribeWait(const StartCandidate& step, const PlanRequest& request,
                                          const RoomTable& rooms, const UrgentClaims& claims,
                                          const GuaranteeTable& guarantees) {
  const std::int64_t waited_ms = request.unix_now_ms - step.due_at_ms;
  // Later steps have not waited since the job was due.
  if (waited_ms < kLongWaitMs || !step.spec().depends_on.empty()) {
    return std::nullopt;
  }
  const GuaranteeShare& share = guarantees.shares()[guarantees.TeamOf(*step.job).value()];
  GuaranteeWait wait{step.step,  step.job->submission->team, waited_ms, share.guaranteed,
                     share.held, step.Accelerators()};
  for (const WorkerRoom* it : rooms.On({})) {
    wait.free += it->worker->Free().accelerators;
    wait.stoppable += it->stoppable.accelerators;
  }
  wait.borrowed = guarantees.Borrowed();
  wait.claims = std::count_if(claims.claims().begin(), claims.claims().end(),
                              [&](const RoomClaim& it) { return it.task.step == step.step; });
  wait.prefers_one_rack = step.spec().prefers_one_rack;
  return wait;
}

}  // namespace clementineloom::workload::detail
