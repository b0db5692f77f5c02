#include <gtest/gtest.h>

#include "workload/planner_test.h"

namespace clementineloom::workload {
namespace {

class GuaranteeWaitTest : public PlannerTest {
 protected:
  static constexpr std::int64_t kDueAtMs = 99'000;
};

// Guards against a delayed urgent job for which the log does not show why it waited.
TEST_F(GuaranteeWaitTest, GuaranteedStep_ThatFindsNoRoomForASecond_IsReportedWithTheAccelerators) {
  AddWorker("w1", "r1");
  teams_ = {{"a", {}, 3}, {"b", {}, 2}};
  Submit("beyond", Step(1, 7), 0, 0, "a");
  ApplyStarts(Plan());
  Submit("urgent", Step(1, 2), 0, kDueAtMs, "b");
  const StartPlan plan = Plan(kDueAtMs + 1'000);
  ASSERT_EQ(plan.waits.size(), 1U);
  const GuaranteeWait& wait = plan.waits.front();
  EXPECT_EQ(wait.step.job, "urgent");
  EXPECT_EQ(wait.team, "b");
  EXPECT_EQ(wait.waited_ms, 1'000);
  EXPECT_EQ(wait.guaranteed, 2);
  EXPECT_EQ(wait.held, 2);
  EXPECT_EQ(wait.needed, 2);
  EXPECT_EQ(wait.free, 1);
  EXPECT_EQ(wait.stoppable, 0);
  EXPECT_EQ(wait.borrowed, 4);
  // Room is being cleared for it.
  EXPECT_EQ(wait.claims, 1);
}

// Guards against log lines for steps that have only just become due, or that exceed the guarantee.
TEST_F(GuaranteeWaitTest, Step_JustDueOrBeyondTheGuarantee_IsNotReported) {
  AddWorker("w1", "r1");
  teams_ = {{"a", {}, 2}};
  Submit("holds", Step(1, 8), 0);
  ApplyStarts(Plan());
  Submit("young", Step(1, 2), 0, kDueAtMs, "a");
  EXPECT_TRUE(Plan(kDueAtMs + 999).waits.empty());
  EXPECT_EQ(Plan(kDueAtMs + 1'000).waits.size(), 1U);
  Submit("more", Step(1, 1), 0, kDueAtMs, "a");
  EXPECT_EQ(Plan(kDueAtMs + 1'000).waits.size(), 1U);
}

}  // namespace
}  // namespace clementineloom::workload
