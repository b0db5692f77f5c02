#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "clementineloom/workload/step_waits.h"
#include "workload/planner_test.h"

namespace clementineloom::workload {
namespace {

/// Fixture with a fleet of 32 accelerators and a team whose quota is 10 of them.
class TeamQuotaTest : public PlannerTest {
 protected:
  static constexpr std::int64_t kQuota = 10;

  void SetUp() override {
    for (const char* it : {"w1", "w2", "w3", "w4"}) {
      AddWorker(it, "r1");
    }
    SetQuota({0, 0, kQuota});
  }
  void SetQuota(const Resources& quota) { teams_ = {{"blue", {}, 0, 0, quota}}; }

  StepSpec Gang(std::uint32_t tasks, std::int64_t accelerators) {
    StepSpec step = Step(tasks, accelerators);
    step.is_gang = true;
    return step;
  }
  // Plans until nothing starts any more. Returns the number of starts.
  std::size_t StartAll() {
    std::size_t starts = 0;
    for (StartPlan plan = Plan(); !plan.starts.empty(); plan = Plan()) {
      starts += plan.starts.size();
      ApplyStarts(plan);
    }
    return starts;
  }
  void SetStages(RunStage stage) {
    for (auto& [id, worker] : workers_) {
      for (auto& [run, placed] : worker.runs) {
        placed.stage = stage;
      }
    }
  }
  WaitReason ReasonOf(const std::string& job) {
    return DescribeStepWait({jobs_, workers_, evacuated_, advice_, claims_, now_, 100'000, teams_},
                            {job, 0, 0})
        .reason;
  }
};

// Guards against a team that takes a free fleet beyond its quota.
TEST_F(TeamQuotaTest, Tasks_MoreThanTheQuotaHolds_StartUpToTheQuota) {
  Submit("j", Step(30, 1), 1, 0, "blue");
  EXPECT_EQ(StartAll(), 10U);
  EXPECT_EQ(ReasonOf("j"), WaitReason::kQuota);
}

// Guards against a limit by accelerators alone.
TEST_F(TeamQuotaTest, Tasks_WithQuotaOfMemory_StartUpToTheQuota) {
  SetQuota({0, 55, 0});
  Submit("j", Step(30, 1), 1, 0, "blue");
  EXPECT_EQ(StartAll(), 5U);
}

// Guards against a count that leaves out the processors of tasks that reserve none.
TEST_F(TeamQuotaTest, FillTasks_WithQuotaOfProcessors_StartUpToTheQuota) {
  SetQuota({350, 0, 0});
  StepSpec step = Step(30, 1);
  step.fills_idle_cpu = true;
  Submit("j", step, 1, 0, "blue");
  EXPECT_EQ(StartAll(), 3U);
}

// Guards against a limit for teams that have none.
TEST_F(TeamQuotaTest, Tasks_OfAnotherTeam_FillTheFleet) {
  Submit("j", Step(40, 1), 1, 0, "green");
  EXPECT_EQ(StartAll(), 32U);
}

// Guards against a gang of which a part starts and waits for the rest.
TEST_F(TeamQuotaTest, Gang_ThatTheQuotaHoldsInPart_DoesNotStart) {
  Submit("first", Step(1, 4), 1, 0, "blue");
  Submit("gang", Gang(4, 2), 1, 1, "blue");
  EXPECT_EQ(StartAll(), 1U);
  EXPECT_EQ(ReasonOf("gang"), WaitReason::kQuota);
}

// Guards against small steps that always take the room which a gang waits for.
TEST_F(TeamQuotaTest, LaterStep_BehindAGangThatWaitsForTheQuota_Waits) {
  Submit("first", Step(1, 4), 1, 0, "blue");
  ApplyStarts(Plan());
  Submit("gang", Gang(4, 2), 1, 1, "blue");
  Submit("small", Step(1, 1), 1, 2, "blue");
  EXPECT_TRUE(Plan().starts.empty());
}

// Guards against a gang that never starts and keeps its team idle.
TEST_F(TeamQuotaTest, LaterStep_BehindAGangLargerThanTheQuota_Starts) {
  Submit("gang", Gang(4, 3), 1, 0, "blue");
  Submit("small", Step(1, 1), 1, 1, "blue");
  EXPECT_EQ(StartAll(), 1U);
}

// Guards against the same for a gang that no worker may run.
TEST_F(TeamQuotaTest, LaterStep_BehindAGangWithoutWorkers_Starts) {
  Submit("first", Step(1, 4), 1, 0, "blue");
  ApplyStarts(Plan());
  StepSpec gang = Gang(4, 2);
  gang.required_label = "b";
  Submit("gang", gang, 1, 1, "blue");
  Submit("small", Step(1, 1), 1, 2, "blue");
  EXPECT_EQ(Plan().starts.size(), 1U);
}

// Guards against a start beside runs whose outcome is unknown, or that have not ended yet.
TEST_F(TeamQuotaTest, Runs_InAnyStage_CountUntilTheyHaveEnded) {
  Submit("j", Step(30, 1), 1, 0, "blue");
  StartAll();
  for (const RunStage it :
       {RunStage::kRecording, RunStage::kStarting, RunStage::kRunning, RunStage::kStopping}) {
    SetStages(it);
    EXPECT_TRUE(Plan().starts.empty());
  }
  workers_["w1"].Remove(workers_["w1"].runs.begin()->first);
  EXPECT_EQ(Plan().starts.size(), 1U);
}

// Guards against a start beside runs on workers that are silent or have left the list.
TEST_F(TeamQuotaTest, Runs_OnAWorkerThatTakesNone_Count) {
  Submit("j", Step(30, 1), 1, 0, "blue");
  StartAll();
  workers_["w1"].is_attached = false;
  workers_["w2"].is_listed = false;
  EXPECT_TRUE(Plan().starts.empty());
}

// Guards against runs that are lost because the quota fell.
TEST_F(TeamQuotaTest, Quota_ThatFallsBelowWhatRuns_StopsNothingAndStartsNothing) {
  Submit("j", Step(30, 1), 1, 0, "blue");
  StartAll();
  SetQuota({0, 0, 3});
  Submit("urgent", Step(1, 1), kPreemptingPriority, 0, "blue");
  const StartPlan plan = Plan();
  EXPECT_TRUE(plan.starts.empty());
  EXPECT_TRUE(plan.preemptions.empty());
}

// Guards against a guarantee that is void until batch work has ended, because the quota fell.
TEST_F(TeamQuotaTest, GuaranteedTasks_OnceTheQuotaHasFallen_StopBatchWorkOfTheirTeam) {
  Submit("bulk", Step(30, 1), 2, 0, "blue");
  StartAll();
  SetQuota({0, 0, 3});
  teams_.front().guaranteed_accelerators = 2;
  Submit("urgent", Step(2, 1), kPreemptingPriority, 0, "blue");
  EXPECT_EQ(Plan().preemptions.size(), 9U);
}

// Guards against a guarantee that the team's own batch work makes void.
TEST_F(TeamQuotaTest, UrgentTasks_BehindBatchWorkOfTheirTeam_StopAsMuchOfItAsNeeded) {
  Submit("bulk", Step(10, 1), 2, 0, "blue");
  StartAll();
  Submit("urgent", Gang(2, 2), kPreemptingPriority, 0, "blue");
  const StartPlan plan = Plan();
  EXPECT_EQ(plan.preemptions.size(), 4U);
  BeginStops(plan);
  EXPECT_TRUE(Plan().preemptions.empty());
  for (const Preemption& it : plan.preemptions) {
    workers_[it.worker].Remove(it.run);
  }
  const StartPlan next = Plan();
  ASSERT_EQ(next.starts.size(), 2U);
  EXPECT_EQ(next.starts.front().run.run.task.step.job, "urgent");
}

// Guards against runs of a gang that count one by one, so that more is stopped than needed.
TEST_F(TeamQuotaTest, UrgentTasks_BehindAGangOfTheirTeam_StopItOnce) {
  Submit("bulk", Gang(5, 2), 2, 0, "blue");
  StartAll();
  Submit("urgent", Gang(2, 2), kPreemptingPriority, 0, "blue");
  EXPECT_EQ(Plan().preemptions.size(), 1U);
}

// Guards against runs that are stopped although the quota does not admit the step even then.
TEST_F(TeamQuotaTest, UrgentGang_LargerThanTheQuota_StopsNothing) {
  Submit("bulk", Step(10, 1), 2, 0, "blue");
  StartAll();
  Submit("urgent", Gang(4, 4), kPreemptingPriority, 0, "blue");
  EXPECT_TRUE(Plan().preemptions.empty());
}

// Guards against batch work that takes the room in the quota which urgent work needs each second.
TEST_F(TeamQuotaTest, OtherTasks_BesideAForecastOfUrgentWork_LeaveItsPartOfTheQuotaFree) {
  Submit("bulk", Step(30, 1), 2, 0, "blue");
  PlanRequest request{jobs_, workers_, evacuated_, advice_, claims_, now_, 100'000, teams_};
  request.team_urgent_forecast = {{"blue", 3}};
  EXPECT_EQ(PlanStarts(request).starts.size(), 7U);
  request.team_urgent_forecast = {{"blue", 10}};
  EXPECT_EQ(PlanStarts(request).starts.size(), 6U);
}

// Guards against runs that are stopped for a task which its team's quota then keeps from starting.
TEST_F(TeamQuotaTest, UrgentTasks_BeyondTheQuota_StopRunsForTheAdmittedOnly) {
  Submit("bulk", Step(32, 1), 2, 0, "green");
  StartAll();
  Submit("urgent", Step(16, 1), kPreemptingPriority, 0, "blue");
  EXPECT_EQ(Plan().preemptions.size(), 10U);
}

// Guards against runs that are stopped although their end frees nothing that is missing.
TEST_F(TeamQuotaTest, UrgentTasks_BehindBatchWorkOfTheirTeam_SpareRunsWithoutAccelerators) {
  Submit("processors", Step(4, 0), 2, 0, "blue");
  Submit("bulk", Step(10, 1), 2, 0, "blue");
  StartAll();
  Submit("urgent", Step(2, 1), kPreemptingPriority, 0, "blue");
  const StartPlan plan = Plan();
  ASSERT_EQ(plan.preemptions.size(), 2U);
  for (const Preemption& it : plan.preemptions) {
    EXPECT_EQ(it.run.task.step.job, "bulk");
  }
}

// Guards against a gang that never starts because it does not fit beside what is kept for urgent
// work, and keeps later steps of its team waiting.
TEST_F(TeamQuotaTest, Gang_LargerThanTheQuotaLessTheReserve_Starts) {
  Submit("gang", Gang(4, 2), 1, 0, "blue");
  PlanRequest request{jobs_, workers_, evacuated_, advice_, claims_, now_, 100'000, teams_};
  request.team_urgent_forecast = {{"blue", 4}};
  EXPECT_EQ(PlanStarts(request).starts.size(), 4U);
}

// Guards against a forecast of urgent work that no quota admits, for which room would idle.
TEST_F(TeamQuotaTest, UrgentTasks_BeyondTheQuota_AreNotForecast) {
  Submit("urgent", Step(16, 1), kPreemptingPriority, 0, "blue");
  EXPECT_EQ(Plan().urgent_loads.at("inspect").accelerators, 10);
}

}  // namespace
}  // namespace clementineloom::workload
