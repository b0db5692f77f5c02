#include <gtest/gtest.h>

#include "workload/planner_test.h"

namespace clementineloom::workload {
namespace {

class GangRackTest : public PlannerTest {
 protected:
  static constexpr std::int64_t kNowMs = 100'000;

  void SetUp() override { AddWorker("w1", "r1"); }
};

// Guards against an urgent gang that waits for a rack although none could ever hold it.
TEST_F(GangRackTest, UrgentGang_WiderThanAnyRack_StartsOnSeveralAtOnce) {
  AddWorker("w2", "r2");
  StepSpec gang = Step(2, 8);
  gang.is_gang = true;
  gang.prefers_one_rack = true;
  Submit("gang", gang, kPreemptingPriority, kNowMs);
  EXPECT_EQ(Plan(kNowMs).starts.size(), 2U);
}

// Guards against a narrow gang in the middle of the widest free rack.
TEST_F(GangRackTest, Gang_WithSeveralRacksThatFit_TakesTheTightest) {
  AddWorker("w2", "r2");
  AddWorker("w3", "r2");
  StepSpec gang = Step(2, 4);
  gang.is_gang = true;
  gang.prefers_one_rack = true;
  AddWorker("w0", "r0");
  AddWorker("w00", "r0");
  Submit("gang", gang, 1, kNowMs);
  const StartPlan plan = Plan(kNowMs);
  ASSERT_EQ(plan.starts.size(), 2U);
  EXPECT_EQ(plan.starts.front().worker, "w1");
}

}  // namespace
}  // namespace clementineloom::workload
