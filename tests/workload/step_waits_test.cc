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
    return {jobs_, workers_, evacuated_, advice_, claims_, now_, 100'000, teams_};
  }
  [[nodiscard]] std::vector<StepId> Waiting(const std::set<std::string>& silent = {}) const {
    return WaitingSteps(Request(), silent);
  }
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

}  // namespace
}  // namespace clementineloom::workload
