#include <gtest/gtest.h>

#include <string>

#include "workload/planner_test.h"

namespace clementineloom::workload {
namespace {

class UrgentOrderTest : public PlannerTest {
 protected:
  static constexpr std::int64_t kNowMs = 100'000;

  void SetUp() override { AddWorker("w1", "r1"); }

  // Submits an urgent job whose objective is twice its estimated second of work.
  void SubmitUrgent(const std::string& id, std::int64_t accepted_at_ms) {
    StepSpec step = Step(1, 8);
    step.estimate_ms = 1'000;
    SubmitUrgentWithObjective(id, step, 2.0, accepted_at_ms);
  }
};

// Guards against a queue in which all jobs end late, because the oldest always goes first.
TEST_F(UrgentOrderTest, Step_ThatCanMeetItsObjective_GoesBeforeAnOlderThatCannot) {
  SubmitUrgent("older", kNowMs - 3'000);
  SubmitUrgent("newer", kNowMs - 500);
  const StartPlan plan = Plan(kNowMs);
  ASSERT_EQ(plan.starts.size(), 1U);
  EXPECT_EQ(plan.starts.front().run.run.task.step.job, "newer");
}

// Guards against work that is lost for a result that comes too late to be of use.
TEST_F(UrgentOrderTest, Step_TooLateToBeOfUse_StopsNothingAndStartsWhereThereIsRoom) {
  Submit("bulk", Step(1, 8), 2);
  ApplyStarts(Plan());
  SubmitUrgent("late", kNowMs - 20'000);
  EXPECT_TRUE(Plan(kNowMs).preemptions.empty());
  workers_["w1"].runs.clear();
  workers_["w1"].used = {};
  EXPECT_EQ(Plan(kNowMs).starts.front().run.run.task.step.job, "late");
}

}  // namespace
}  // namespace clementineloom::workload
