#include "clementineloom/workload/step_waits.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "workload/planner_test.h"

namespace clementineloom::workload {
namespace {

/// A job of two steps, the second after the first.
class StepWaitsTest : public PlannerTest {
 protected:
  static constexpr const char* kJob = "00000000000000a1";
  static constexpr std::int64_t kNowMs = 100'000;
  static constexpr std::int64_t kEstimateMs = 9'000;

  void SubmitSteps(StepSpec first, StepSpec second) {
    second.depends_on = {0};
    JobSubmission submission;
    submission.id = kJob;
    submission.queue.service = "inspect";
    submission.queue.priority = 1;
    submission.steps = {std::move(first), std::move(second)};
    jobs_.Apply(SubmissionSet{kJob, submission});
  }
  void Finish(std::uint32_t step, std::uint32_t index) {
    jobs_.Apply(TaskSet{{{kJob, 0, step}, index}, TaskRecord{TaskPhase::kDone, 1, "w1", 0, {}}});
  }
  void Hold(const std::string& worker, std::uint32_t step, RunStage stage) {
    PlacedRun run = PlacedRun::Of({{{kJob, 0, step}, 0}, 1}, Step(1, 1), 1, now_);
    run.stage = stage;
    workers_[worker].Add(run);
  }
  [[nodiscard]] PlanRequest Request() const {
    return {jobs_, workers_, evacuated_, advice_,  claims_,
            now_,  kNowMs,   teams_,     reserve_, overdue_};
  }
  // What the only step of a job, accepted now, waits for.
  [[nodiscard]] StepWait WaitOf(StepSpec step) {
    step.estimate_ms = kEstimateMs;
    Submit(kJob, std::move(step), 1, kNowMs);
    return DescribeStepWait(Request(), {kJob, 0, 0});
  }
  [[nodiscard]] std::vector<StepId> Waiting(const std::set<std::string>& silent = {}) const {
    return WaitingSteps(Request(), silent);
  }

  AcceleratorsByService reserve_;
  std::vector<StepId> overdue_;
};

// Guards against a log that names a step whose turn has not come, or not the one whose turn it is.
TEST_F(StepWaitsTest, Steps_WithoutRuns_AreListedOnceTheirTurnHasCome) {
  AddWorker("w1", "r1");
  SubmitSteps(Step(1, 1), Step(1, 1));
  EXPECT_EQ(Waiting(), (std::vector<StepId>{{kJob, 0, 0}}));
  Finish(0, 0);
  EXPECT_EQ(Waiting(), (std::vector<StepId>{{kJob, 0, 1}}));
  Finish(1, 0);
  EXPECT_TRUE(Waiting().empty());
}

// Guards against a job that counts as being at work because of a run on a silent worker, or of one
// whose start is not confirmed.
TEST_F(StepWaitsTest, Step_WithAHeldRun_WaitsUnlessItRunsOnAWorkerThatAnswers) {
  AddWorker("w1", "r1");
  SubmitSteps(Step(1, 1), Step(1, 1));
  Hold("w1", 0, RunStage::kRunning);
  EXPECT_TRUE(Waiting().empty());
  EXPECT_EQ(Waiting({"w1"}).size(), 1U);
  Hold("w1", 0, RunStage::kStopping);
  EXPECT_EQ(Waiting().size(), 1U);
  const StepWait wait = DescribeStepWait(Request(), {kJob, 0, 0});
  EXPECT_EQ(wait.open_tasks, 1U);
  EXPECT_EQ(wait.held_tasks, 1U);
  ASSERT_TRUE(wait.held_run);
  EXPECT_EQ(wait.held_run->worker, "w1");
  EXPECT_EQ(wait.held_run->stage, RunStage::kStopping);
}

// Guards against a wait without a reason: each worker counts under the condition that keeps the
// step from it.
TEST_F(StepWaitsTest, Workers_AreCountedByWhatKeepsTheStepFromThem) {
  for (const char* it : {"usable", "leaving", "unattached", "resting", "evacuated", "full"}) {
    AddWorker(it, it);
  }
  AddWorker("unlabelled", "r1", "b");
  workers_["leaving"].info.is_draining = true;
  workers_["unattached"].is_attached = false;
  workers_["resting"].usable_from = now_ + Milliseconds(1);
  evacuated_ = {"dc-evacuated"};
  workers_["full"].used = kCapacity;
  StepSpec step = Step(2, 1);
  step.required_label = "a";
  SubmitSteps(step, Step(1, 1));
  const StepWait wait = DescribeStepWait(Request(), {kJob, 0, 0});
  EXPECT_EQ(wait.workers, (WorkerCounts{.without_label = 1,
                                        .leaving = 1,
                                        .unattached = 1,
                                        .backing_off = 1,
                                        .evacuated = 1,
                                        .full = 1,
                                        .unapproved = 0,
                                        .usable = 1}));
  EXPECT_EQ(wait.open_tasks, 2U);
  EXPECT_FALSE(wait.held_run);
}

// Guards against a wait for the rack of the data that looks like a lack of room.
TEST_F(StepWaitsTest, Reason_OfAStepWhoseDataRackIsFull_IsTheDataRackAndItsEnd) {
  AddWorker("w1", "r1");
  AddWorker("w2", "r2");
  workers_["w1"].used = kCapacity;
  StepSpec step = Step(1, 1);
  step.data_rack = "r1";
  const StepWait wait = WaitOf(step);
  EXPECT_EQ(wait.reason, WaitReason::kDataRack);
  EXPECT_EQ(wait.ends_in_ms, kEstimateMs);
}

// Guards against a line that names a wait for a rack which the planner no longer makes.
TEST_F(StepWaitsTest, Reason_OfAnOverdueStepBesideFreeRoom_IsNotTheRack) {
  AddWorker("w1", "r1");
  AddWorker("w2", "r2");
  workers_["w1"].used = kCapacity;
  StepSpec step = Step(1, 1);
  step.data_rack = "r1";
  overdue_ = {{kJob, 0, 0}};
  const StepWait wait = WaitOf(step);
  EXPECT_EQ(wait.reason, WaitReason::kNextPlan);
  EXPECT_TRUE(wait.is_overdue);
}

// Guards against a gang's wait for a rack that looks like a lack of room.
TEST_F(StepWaitsTest, Reason_OfAGangThatFitsOnSeveralRacksOnly_IsOneRackAndItsEnd) {
  for (const char* it : {"w1", "w2"}) {
    AddWorker(it, "r1");
  }
  AddWorker("w3", "r2");
  workers_["w1"].used = kCapacity;
  StepSpec gang = Step(2, 8);
  gang.is_gang = true;
  gang.prefers_one_rack = true;
  const StepWait wait = WaitOf(gang);
  EXPECT_EQ(wait.reason, WaitReason::kOneRack);
  EXPECT_EQ(wait.ends_in_ms, kEstimateMs);
}

// Guards against a gang that the reserve keeps waiting and whose line shows usable workers only.
TEST_F(StepWaitsTest, Reason_OfAGangThatFitsWithReservedWorkersOnly_IsTheReserveAndItsForecast) {
  for (const char* it : {"w1", "w2", "w3"}) {
    AddWorker(it, it);
  }
  reserve_ = {{"inspect", 8}};
  StepSpec gang = Step(3, 8);
  gang.is_gang = true;
  const StepWait wait = WaitOf(gang);
  EXPECT_EQ(wait.reason, WaitReason::kReserve);
  EXPECT_EQ(wait.urgent_forecast, 8);
}

// Guards against a lack of room that looks like a choice.
TEST_F(StepWaitsTest, Reason_OfAGangWiderThanTheRoom_IsRoom) {
  AddWorker("w1", "r1");
  StepSpec gang = Step(2, 8);
  gang.is_gang = true;
  EXPECT_EQ(WaitOf(gang).reason, WaitReason::kRoom);
}

// Guards against a line that names a lack of room while a run of the step still has to end.
TEST_F(StepWaitsTest, Reason_OfATaskThatIsBeingStopped_IsItsRun) {
  AddWorker("w1", "r1");
  Hold("w1", 0, RunStage::kStopping);
  EXPECT_EQ(WaitOf(Step(1, 1)).reason, WaitReason::kHeldRuns);
}

// Guards against a step that is about to start and seems to wait for something.
TEST_F(StepWaitsTest, Reason_OfAStepWithRoom_IsTheNextPlan) {
  AddWorker("w1", "r1");
  EXPECT_EQ(WaitOf(Step(1, 1)).reason, WaitReason::kNextPlan);
}

}  // namespace
}  // namespace clementineloom::workload
