#include "gateway/scheduler_view_duty.h"

#include "gateway/scheduler_view.h"

namespace clementineloom::gateway {
namespace {

// A quarter of the age that a view may reach.
constexpr std::chrono::milliseconds kInterval{500};

}  // namespace

void SchedulerViewDuty::Run() {
  while (!stop_.WaitFor(kInterval)) {
    if (health_.is_control_caught_up && !health_.is_outdated) {
      Ask();
    }
  }
}

void SchedulerViewDuty::Ask() {
  // Read before the call: a later offset could be newer than the tail in the answer.
  const LogOffset published = published_.Get();
  const MonotonicTime asked_at = std::chrono::steady_clock::now();
  const auto refusal = RefusalOf([&]() -> Result<void> {
    BOOST_LEAF_AUTO(view, AskSchedulerView(scheduler_, kInterval));
    if (view.tail <= published) {
      // The answer may be as old as the call, so that its age counts from there.
      (void)routing_.Push(ViewConfirmed{asked_at - view.age});
    }
    return {};
  });
  // Without an answer the view is confirmed by reading the log alone.
  (void)refusal;
}

}  // namespace clementineloom::gateway
