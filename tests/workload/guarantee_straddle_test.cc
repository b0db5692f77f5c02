#include <gtest/gtest.h>

#include "workload/planner_test.h"

namespace clementineloom::workload {
namespace {

// Runs that lie partly within and partly beyond the guarantee of their team.
class GuaranteeStraddleTest : public PlannerTest {};

// Guards against guaranteed accelerators that are never returned to their team: nothing was stopped
// when stopping any run of the borrowing team would take that team below its own guarantee.
TEST_F(GuaranteeStraddleTest, Guaranteed_WhereARunStraddlesAnotherGuarantee_StopsIt) {
  AddWorker("w1", "r1");
  teams_ = {{"a", {}, 2}, {"b", {}, 6}};
  Submit("beyond", Step(1, 4), 0, 0, "a");
  ApplyStarts(Plan());
  Submit("urgent", Step(1, 6), 0, 0, "b");
  const StartPlan plan = Plan();
  ASSERT_EQ(plan.preemptions.size(), 1U);
  EXPECT_EQ(plan.preemptions[0].run.task.step.job, "beyond");
}

// Guards against teams that preempt each other in turn: a run that was stopped must not preempt
// others.
TEST_F(GuaranteeStraddleTest, StraddlingRun_AfterItsStop_StopsNothing) {
  AddWorker("w1", "r1");
  teams_ = {{"a", {}, 2}, {"b", {}, 6}};
  Submit("urgent", Step(1, 6), 0, 0, "b");
  ApplyStarts(Plan());
  Submit("beyond", Step(1, 4), 0, 0, "a");
  EXPECT_TRUE(Plan().preemptions.empty());
}

}  // namespace
}  // namespace clementineloom::workload
