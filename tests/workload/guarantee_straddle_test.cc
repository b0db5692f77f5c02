#include <gtest/gtest.h>

#include "workload/planner_test.h"

namespace clementineloom::workload {
namespace {

// Runs that lie partly within and partly beyond the guarantee of their team.
class GuaranteeStraddleTest : public PlannerTest {};

// Guards against accelerators of a team that never return to it: nothing was stopped where each
// run of the borrowing team would take it below its own guarantee.
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

// Guards against teams that stop each other in turn: what was stopped stops nothing itself.
TEST_F(GuaranteeStraddleTest, Straddling_AfterItsStop_StopsNothing) {
  AddWorker("w1", "r1");
  teams_ = {{"a", {}, 2}, {"b", {}, 6}};
  Submit("urgent", Step(1, 6), 0, 0, "b");
  ApplyStarts(Plan());
  Submit("beyond", Step(1, 4), 0, 0, "a");
  EXPECT_TRUE(Plan().preemptions.empty());
}

}  // namespace
}  // namespace clementineloom::workload
