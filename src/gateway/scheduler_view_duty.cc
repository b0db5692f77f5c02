#include "gateway/scheduler_view_duty.h"

#include "gateway/scheduler_view.h"

namespace clementineloom::gateway {

void SchedulerViewDuty::Run() {
  while (!stop_.WaitFor(poll_interval_)) {
    if (health_.is_control_caught_up && !health_.is_outdated) {
      ConfirmView();
    }
  }
}

void SchedulerViewDuty::ConfirmView() {
  // Read before the call: an offset read afterwards could be newer than the tail in the response.
  const LogOffset published = published_.Get();
  const MonotonicTime asked_at = std::chrono::steady_clock::now();
  const auto refusal = RefusalOf([&]() -> Result<void> {
    BOOST_LEAF_AUTO(view, FetchSchedulerView(scheduler_, poll_interval_));
    if (view.tail <= published) {
      // The response may be as old as the call, so its age is counted from the start of the call.
      (void)routing_.Push(ViewConfirmed{asked_at - view.age});
    }
    return {};
  });
  // On failure, only reading the log can confirm the view.
  (void)refusal;
}

}  // namespace clementineloom::gateway
