#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "workload/planner_test.h"

namespace clementineloom::workload {
namespace {

/// Steps that run until they are cancelled, of jobs that were accepted long ago.
class LastingStepTest : public PlannerTest {
 protected:
  static constexpr std::int64_t kNowMs = 100'000;
  static constexpr std::int64_t kLongAgoMs = kNowMs - 60'000;
  static constexpr const char* kService = "service";

  void SetUp() override { AddWorker("w1", "r1"); }

  static StepSpec Lasting(std::uint32_t tasks, std::int64_t accelerators) {
    StepSpec step = Batch(tasks, accelerators);
    step.runs_until_cancelled = true;
    return step;
  }
  static StepSpec Batch(std::uint32_t tasks, std::int64_t accelerators) {
    StepSpec step = Step(tasks, accelerators);
    step.estimate_ms = 1'000;
    return step;
  }
  // Submits a job whose objective is twice its critical path.
  void SubmitWithObjective(const std::string& id, std::vector<StepSpec> steps,
                           std::int64_t accepted_at_ms, std::uint32_t priority = 0,
                           const std::string& team = {}) {
    JobSubmission submission;
    submission.id = id;
    submission.team = team;
    submission.queue.service = "inspect";
    submission.queue.priority = priority;
    submission.queue.stretch = 2.0;
    submission.accepted_at_ms = accepted_at_ms;
    submission.steps = std::move(steps);
    jobs_.Apply(SubmissionSet{id, submission});
  }
  // Fills the worker with less urgent work.
  void FillWith(const StepSpec& step) {
    Submit("bulk", step, 2);
    ApplyStarts(Plan());
    now_ += Milliseconds(5'000);
  }
  // The job of the first start of a plan, or nothing without one.
  static std::string FirstStarted(const StartPlan& plan) {
    return plan.starts.empty() ? std::string() : plan.starts.front().run.run.task.step.job;
  }
};

// Guards against a lasting task that is not started again after its worker was lost, because its
// job was accepted long ago.
TEST_F(LastingStepTest, Urgent_DueLongAgo_StopsLessUrgentWork) {
  FillWith(Step(8, 1));
  SubmitWithObjective(kService, {Lasting(1, 8)}, kLongAgoMs);
  const StartPlan plan = Plan(kNowMs);
  EXPECT_EQ(plan.preemptions.size(), 8U);
  EXPECT_EQ(plan.claims.size(), 1U);
}

// Guards against a lasting task that comes after each newer job, and so never starts again while
// such jobs keep coming.
TEST_F(LastingStepTest, Urgent_DueLongAgo_StartsBeforeNewerUrgentWork) {
  SubmitWithObjective(kService, {Lasting(1, 8)}, kLongAgoMs);
  SubmitWithObjective("newer", {Batch(1, 8)}, kNowMs);
  EXPECT_EQ(FirstStarted(Plan(kNowMs)), kService);
}

// Guards against the same in a queue that may not preempt.
TEST_F(LastingStepTest, LessUrgent_DueLongAgo_StartsBeforeNewerWorkOfItsPriority) {
  SubmitWithObjective(kService, {Lasting(1, 8)}, kLongAgoMs, 2);
  SubmitWithObjective("newer", {Batch(1, 8)}, kNowMs, 2);
  EXPECT_EQ(FirstStarted(Plan(kNowMs)), kService);
}

// Guards against a lasting task that never begins, because the step that it waits for is taken for
// one that is too late to be of use.
TEST_F(LastingStepTest, Urgent_ThatWaitsForAnEarlierStep_HasRoomMadeForThatStep) {
  FillWith(Step(8, 1));
  StepSpec lasting = Lasting(1, 8);
  lasting.depends_on = {0};
  SubmitWithObjective(kService, {Batch(1, 8), lasting}, kLongAgoMs);
  EXPECT_EQ(Plan(kNowMs).preemptions.size(), 8U);
}

// Guards against lasting tasks that are stopped although only one of their step may be unavailable.
TEST_F(LastingStepTest, Urgent_WhereLastingTasksMayNotAllBeUnavailable_StopsNothing) {
  StepSpec other = Lasting(8, 1);
  other.max_unavailable = 1;
  FillWith(other);
  for (auto& [id, run] : workers_["w1"].runs) {
    run.progress_percent = 100;
  }
  SubmitWithObjective(kService, {Lasting(1, 8)}, kLongAgoMs);
  EXPECT_TRUE(Plan(kNowMs).preemptions.empty());
}

// Guards against a lasting task beyond the guarantee of its team that stops urgent work.
TEST_F(LastingStepTest, Urgent_BeyondItsGuarantee_StopsNoUrgentWork) {
  teams_ = {{"a", {}, 0}, {"b", {}, 4}};
  Submit("other", Step(8, 1), 0, 0, "a");
  ApplyStarts(Plan());
  SubmitWithObjective(kService, {Lasting(1, 8)}, kLongAgoMs, 0, "b");
  EXPECT_TRUE(Plan(kNowMs).preemptions.empty());
}

// Guards against a guaranteed step that waits behind a lasting task beyond a guarantee.
TEST_F(LastingStepTest, Urgent_BeyondItsGuarantee_StartsAfterGuaranteedWorkThatMayReclaim) {
  teams_ = {{"a", {}, 4}, {"b", {}, 8}};
  SubmitWithObjective(kService, {Lasting(1, 8)}, kLongAgoMs, 0, "a");
  SubmitWithObjective("guaranteed", {Batch(1, 8)}, kNowMs - 1'000, 0, "b");
  EXPECT_EQ(FirstStarted(Plan(kNowMs)), "guaranteed");
}

}  // namespace
}  // namespace clementineloom::workload
