#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <vector>

#include "workload/planner_test.h"

namespace clementineloom::workload {
namespace {

/// Steps that could start on most of the fleet, but not where they would best.
class OverdueStepTest : public PlannerTest {
 protected:
  static constexpr std::int64_t kNowMs = 100'000;
  static constexpr std::int64_t kEstimateMs = 16'500;
  static constexpr const char* kJob = "job";

  // Eight racks of six workers.
  OverdueStepTest() {
    for (int n = 0; n < 48; ++n) {
      AddWorker("w" + std::to_string(n), "r" + std::to_string(n / 6));
    }
  }
  // Takes accelerators of the workers from one on, for work that is not urgent.
  void Occupy(int first, int count, std::int64_t accelerators) {
    for (int n = first; n < first + count; ++n) {
      const TaskRun run{{{"other", 0, 0}, static_cast<std::uint32_t>(n)}, 1};
      workers_["w" + std::to_string(n)].Add(PlacedRun::Of(run, Step(1, accelerators), 1, now_));
    }
  }
  static StepSpec Gang(std::uint32_t tasks) {
    StepSpec gang = Step(tasks, 8);
    gang.is_gang = true;
    return gang;
  }
  // The starts of a plan for a job of one step, accepted now.
  std::size_t Starts(StepSpec step, bool is_overdue) {
    step.estimate_ms = kEstimateMs;
    Submit(kJob, std::move(step), 1, kNowMs);
    const std::vector<StepId> overdue{{kJob, 0, 0}};
    PlanRequest request{jobs_, workers_, evacuated_, advice_, claims_, now_, kNowMs, teams_};
    request.urgent_reserve = {{"inspect", reserve_}};
    if (is_overdue) {
      request.overdue_steps = overdue;
    }
    return PlanStarts(request).starts.size();
  }

  std::int64_t reserve_ = 0;
};

// Guards against a wait for a rack that can never hold the gang.
TEST_F(OverdueStepTest, Gang_WiderThanTheRackOfItsData_StartsAtOnce) {
  StepSpec gang = Gang(8);
  gang.data_rack = "r1";
  EXPECT_EQ(Starts(gang, false), 8U);
}

// Guards against a gang that waits for a whole rack for as long as its caller estimates.
TEST_F(OverdueStepTest, Gang_ThatFindsNoWholeRack_StartsOnSeveralOnceOverdue) {
  for (int rack = 0; rack < 8; ++rack) {
    Occupy(6 * rack, 1, 1);
  }
  StepSpec gang = Gang(6);
  gang.prefers_one_rack = true;
  EXPECT_EQ(Starts(gang, false), 0U);
  EXPECT_EQ(Starts(gang, true), 6U);
}

// Guards against a job that has nothing at work because its data is on a full rack, and against
// work that all goes far from its data: one task is enough to be at work.
TEST_F(OverdueStepTest, Tasks_WhoseDataRackIsFull_StartOneElsewhereOnceOverdue) {
  Occupy(6, 6, 8);
  StepSpec step = Step(2, 8);
  step.data_rack = "r1";
  EXPECT_EQ(Starts(step, false), 0U);
  EXPECT_EQ(Starts(step, true), 1U);
}

// Guards against a gang that waits beside room kept for urgent work that keeps coming.
TEST_F(OverdueStepTest, Gang_ThatFitsWithReservedRoomOnly_TakesItOnceOverdue) {
  Occupy(0, 20, 8);
  reserve_ = 20 * 8;
  EXPECT_EQ(Starts(Gang(14), false), 0U);
  EXPECT_EQ(Starts(Gang(14), true), 14U);
}

// Guards against urgent work that finds its reserve taken while nearly all accelerators are in use.
TEST_F(OverdueStepTest, Gang_BesideBusyAccelerators_LeavesTheReserveToUrgentWork) {
  Occupy(0, 44, 8);
  reserve_ = 4 * 8;
  EXPECT_EQ(Starts(Gang(2), true), 0U);
}

// Guards against work that leaves its data in a fleet that is busy: more room is free there soon.
TEST_F(OverdueStepTest, Tasks_InABusyFleet_WaitForTheRackOfTheirData) {
  for (int n = 0; n < 48; ++n) {
    workers_["w" + std::to_string(n)].used = kCapacity;
  }
  workers_["w0"].used = {};
  StepSpec step = Step(2, 8);
  step.data_rack = "r1";
  EXPECT_EQ(Starts(step, true), 0U);
}

// Guards against service tasks that wait while others of their job are at work.
TEST_F(OverdueStepTest, ServiceTasks_WhoseDataRackIsFull_WaitForHalfASecondOnly) {
  Occupy(6, 6, 8);
  StepSpec step = Step(2, 8);
  step.data_rack = "r1";
  step.estimate_ms = kEstimateMs;
  step.runs_until_cancelled = true;
  Submit(kJob, step, 1, kNowMs);
  EXPECT_EQ(Plan(kNowMs).starts.size(), 0U);
  EXPECT_EQ(Plan(kNowMs + 500).starts.size(), 2U);
}

}  // namespace
}  // namespace clementineloom::workload
