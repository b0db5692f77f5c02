#include "clementineloom/workload/run_stall.h"

#include <gtest/gtest.h>

namespace clementineloom::workload {
namespace {

class RunStallTest : public testing::Test {
 protected:
  RunStallTest() {
    run_.progress_percent = 40;
    run_.progressed_at = start_;
    spec_.estimate_ms = 2'000;
  }

  static constexpr Milliseconds kGangTimeout{3'000};
  const SteadyTime start_ = SteadyTime() + Milliseconds(5'000);
  StepSpec spec_;
  PlacedRun run_;
};

// Guards against tasks that stay on a hung worker until it recovers.
TEST_F(RunStallTest, Run_WithoutProgress_HasStalledAfterTheMinTimeout) {
  EXPECT_FALSE(HasStalled(spec_, run_, start_ + Milliseconds(1'400), kGangTimeout));
  EXPECT_TRUE(HasStalled(spec_, run_, start_ + Milliseconds(1'500), kGangTimeout));
}

// Guards against long tasks that are stopped because a percent of them takes long.
TEST_F(RunStallTest, Run_OfALongTask_HasALongerTimeout) {
  spec_.estimate_ms = 60'000;
  EXPECT_FALSE(HasStalled(spec_, run_, start_ + Milliseconds(4'900), kGangTimeout));
  EXPECT_TRUE(HasStalled(spec_, run_, start_ + Milliseconds(5'000), kGangTimeout));
}

// Guards against gangs that are stopped while their members wait for each other.
TEST_F(RunStallTest, Run_OfAGangThatHasNotStarted_HasTheGangTimeoutAdded) {
  spec_.is_gang = true;
  run_.progress_percent = 0;
  EXPECT_FALSE(HasStalled(spec_, run_, start_ + Milliseconds(4'400), kGangTimeout));
  EXPECT_TRUE(HasStalled(spec_, run_, start_ + Milliseconds(4'500), kGangTimeout));
}

// Guards against stopping tasks that show no progress for other reasons than a hang.
TEST_F(RunStallTest, Run_ThatServesOrIsDoneOrPaced_HasNotStalled) {
  const SteadyTime late = start_ + Milliseconds(60'000);
  StepSpec service = spec_;
  service.runs_until_cancelled = true;
  EXPECT_FALSE(HasStalled(service, run_, late, kGangTimeout));
  PlacedRun done = run_;
  done.progress_percent = 100;
  EXPECT_FALSE(HasStalled(spec_, done, late, kGangTimeout));
  PlacedRun paced = run_;
  paced.pace_percent = 50;
  EXPECT_FALSE(HasStalled(spec_, paced, late, kGangTimeout));
}

}  // namespace
}  // namespace clementineloom::workload
