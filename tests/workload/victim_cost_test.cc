#include <gtest/gtest.h>

#include <stdexcept>
#include <string>

#include "workload/planner_test.h"

namespace clementineloom::workload {
namespace {

class VictimCostTest : public PlannerTest {
 protected:
  void SetUp() override { AddWorker("w1", "r1"); }

  // Fills the worker with runs of single tasks.
  void FillWithBulk(bool saves_checkpoints) {
    StepSpec step = Step(2, 4);
    step.saves_checkpoints = saves_checkpoints;
    Submit("bulk", step, 2);
    ApplyStarts(Plan());
  }
  PlacedRun& BulkRun(std::uint32_t index) {
    for (auto& [run, placed] : workers_["w1"].runs) {
      if (run.task.index == index) {
        return placed;
      }
    }
    throw std::out_of_range("no run of this task");
  }
};

// Guards against a run that is stopped again and again while it resumes from its checkpoint, so
// that it never gets further.
TEST_F(VictimCostTest, Urgent_BesideARunThatResumes_StopsTheRunThatHasSavedSince) {
  FillWithBulk(true);
  BulkRun(0).placed_at = now_ - Milliseconds(9'000);
  BulkRun(0).saved_at = now_ - Milliseconds(100);
  BulkRun(1).placed_at = now_ - Milliseconds(300);
  Submit("urgent", Step(1, 4), kPreemptingPriority);
  const StartPlan plan = Plan();
  ASSERT_EQ(plan.preemptions.size(), 1U);
  EXPECT_EQ(plan.preemptions.front().run.task.index, 0U);
}

// Guards against a task that is stopped each time it begins, because the run begun last has lost
// the least.
TEST_F(VictimCostTest, Urgent_BesideATaskThatWasStoppedBefore_StopsAnother) {
  FillWithBulk(false);
  PlacedRun again = BulkRun(1);
  workers_["w1"].Remove(again.run);
  again.run.run = 4;
  again.placed_at = now_ - Milliseconds(100);
  workers_["w1"].Add(again);
  BulkRun(0).placed_at = now_ - Milliseconds(900);
  Submit("urgent", Step(1, 4), kPreemptingPriority);
  const StartPlan plan = Plan();
  ASSERT_EQ(plan.preemptions.size(), 1U);
  EXPECT_EQ(plan.preemptions.front().run.task.index, 0U);
}

}  // namespace
}  // namespace clementineloom::workload
