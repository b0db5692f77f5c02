#include "clementineloom/workload/detail/advice_turn.h"

#include <algorithm>
#include <chrono>

namespace clementineloom::workload::detail {
namespace {

// An urgent step has to begin within half of the time for which others may stand still, and more
// often with steps before it.
constexpr std::int64_t kUrgentWeight = 10;

}  // namespace

AdviceTurn AdviceTurn::Of(const StartCandidate& step, const PlanRequest& request) {
  const auto asked_at = request.advice.LastQuestionAt(step.step);
  const std::int64_t wait_ms =
      asked_at ? std::chrono::duration_cast<Milliseconds>(request.now - *asked_at).count()
               : request.unix_now_ms - step.due_at_ms;
  const bool is_urgent = step.priority() == kPreemptingPriority;
  return {std::max<std::int64_t>(wait_ms, 0) * (is_urgent ? kUrgentWeight : 1)};
}

}  // namespace clementineloom::workload::detail
