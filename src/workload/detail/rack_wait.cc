#include "clementineloom/workload/detail/rack_wait.h"

#include <algorithm>

#include "clementineloom/workload/detail/rack_fit.h"

namespace clementineloom::workload::detail {
namespace {

// Shortest wait for room near the data or on one rack, and the only one of service tasks. A step
// with a longer estimate waits for that long, because its tasks take a multiple of the estimate
// elsewhere.
constexpr std::int64_t kMinWaitForRackMs = 500;
// Longest wait of an urgent step for a rack, a fraction of the time in which it has to begin.
constexpr std::int64_t kMaxUrgentWaitMs = 700;

std::int64_t LongestWaitMs(const StartCandidate& step) {
  if (step.priority() == kPreemptingPriority) {
    return kMaxUrgentWaitMs;
  }
  // Each task of a service has to be at work, whatever the others do.
  return step.spec().runs_until_cancelled ? kMinWaitForRackMs
                                          : std::max(kMinWaitForRackMs, step.spec().estimate_ms);
}

}  // namespace

std::int64_t RackWaitLeftMs(const StartCandidate& step, std::int64_t unix_now_ms) {
  if (step.takes_any_rack) {
    return 0;
  }
  return std::max<std::int64_t>(0, step.due_at_ms + LongestWaitMs(step) - unix_now_ms);
}

bool WaitsForDataRack(const StartCandidate& step, const RoomTable& rooms,
                      std::int64_t unix_now_ms) {
  return !step.spec().data_rack.empty() && RackWaitLeftMs(step, unix_now_ms) > 0 &&
         CanDataRackHold(step, rooms);
}

bool WaitsForOneRack(const StartCandidate& step, const RoomTable& rooms, std::int64_t unix_now_ms) {
  return step.spec().is_gang && step.spec().prefers_one_rack &&
         RackWaitLeftMs(step, unix_now_ms) > 0 && CanAnyRackHold(step, rooms);
}

}  // namespace clementineloom::workload::detail
