#include "clementineloom/workload/run_outcome.h"

#include <gtest/gtest.h>

namespace clementineloom::workload {
namespace {

class RunOutcomeTest : public testing::Test {
 protected:
  void Accept(std::uint32_t tasks, bool is_gang) {
    JobSubmission submission;
    submission.id = "job";
    submission.queue.max_attempts = 2;
    submission.steps.resize(1);
    submission.steps[0].task_count = tasks;
    submission.steps[0].is_gang = is_gang;
    table_.Apply(SubmissionSet{"job", submission});
    for (std::uint32_t index = 0; index < tasks; ++index) {
      table_.Apply(TaskSet{Task(index), TaskRecord{TaskPhase::kPlaced, 1, "w", 0, ""}});
    }
  }
  // Places all members of a gang of two for another run.
  void Place(std::uint64_t run, std::uint32_t failures) {
    for (std::uint32_t index = 0; index < 2; ++index) {
      table_.Apply(TaskSet{Task(index), TaskRecord{TaskPhase::kPlaced, run, "w", failures, ""}});
    }
  }
  static TaskId Task(std::uint32_t index) { return {{"job", 0, 0}, index}; }

  RunOutcome End(std::uint32_t index, EndReason reason, const std::string& checkpoint = "") {
    RunOutcome outcome = OutcomeOf(
        table_, "w", {Task(index), table_.Find("job")->Task(Task(index)).run}, reason, checkpoint);
    for (const WorkloadRecord& it : outcome.records) {
      table_.Apply(it);
    }
    return outcome;
  }

  JobTable table_;
};

// Guards against a job that is shown as completed while a task has not ended.
TEST_F(RunOutcomeTest, Done_ForTheLastTask_CompletesTheJob) {
  Accept(2, false);
  EXPECT_FALSE(End(0, EndReason::kDone).ended_job.has_value());
  EXPECT_EQ(End(1, EndReason::kDone).ended_job, JobState::kCompleted);
  EXPECT_TRUE(table_.Find("job")->tasks.empty());
}

// Guards against a gang that waits for the end of members whose workers do not list one.
TEST_F(RunOutcomeTest, Done_ForOneMemberOfAGang_EndsTheGang) {
  Accept(3, true);
  EXPECT_EQ(End(1, EndReason::kDone).ended_job, JobState::kCompleted);
}

// Guards against a job that fails before or after its maximum number of attempts.
TEST_F(RunOutcomeTest, Failed_AsOftenAsAllowed_FailsTheJob) {
  Accept(2, false);
  EXPECT_FALSE(End(0, EndReason::kFailed).ended_job.has_value());
  table_.Apply(TaskSet{Task(0), TaskRecord{TaskPhase::kPlaced, 2, "w", 1, ""}});
  EXPECT_EQ(End(0, EndReason::kFailed).ended_job, JobState::kFailed);
}

// Guards against a gang that fails too late because each member counts for itself.
TEST_F(RunOutcomeTest, Failed_OfTwoMembers_FailsTheGang) {
  Accept(2, true);
  const RunOutcome first = End(0, EndReason::kFailed);
  EXPECT_TRUE(first.breaks_gang);
  EXPECT_FALSE(first.ended_job.has_value());
  table_.Apply(TaskSet{Task(1), TaskRecord{TaskPhase::kPlaced, 2, "w", 0, ""}});
  EXPECT_EQ(End(1, EndReason::kFailed).ended_job, JobState::kFailed);
}

// Guards against a job that fails too early because the members of a run that failed together count
// one by one.
TEST_F(RunOutcomeTest, Failed_OfTwoMembersOfOneRun_CountsOnce) {
  Accept(3, true);
  EXPECT_FALSE(End(0, EndReason::kFailed).ended_job.has_value());
  EXPECT_FALSE(End(2, EndReason::kFailed).ended_job.has_value());
  EXPECT_EQ(table_.Find("job")->FailedRuns(Task(1)), 1U);
}

// Guards against a run that is not counted because another member ended without a failure before.
TEST_F(RunOutcomeTest, Failed_AfterAnotherMemberHasLapsed_CountsTheRun) {
  Accept(2, true);
  End(0, EndReason::kFailed);
  Place(2, 1);
  End(0, EndReason::kLapsed);
  EXPECT_EQ(End(1, EndReason::kFailed).ended_job, JobState::kFailed);
}

// Guards against losing the checkpoint of a run whose lease expired, and against counting it as an
// attempt.
TEST_F(RunOutcomeTest, Lapsed_WithACheckpoint_KeepsItAndCountsNoAttempt) {
  Accept(1, false);
  End(0, EndReason::kLapsed, "progress");
  const TaskRecord& task = table_.Find("job")->Task(Task(0));
  EXPECT_EQ(task.phase, TaskPhase::kWaiting);
  EXPECT_EQ(task.checkpoint, "progress");
  EXPECT_EQ(task.failures, 0U);
}

// Guards against a late report of an earlier run's end that ends the current run.
TEST_F(RunOutcomeTest, End_OfAnEarlierRun_ChangesNothing) {
  Accept(1, false);
  table_.Apply(TaskSet{Task(0), TaskRecord{TaskPhase::kPlaced, 2, "w2", 0, ""}});
  EXPECT_TRUE(OutcomeOf(table_, "w", {Task(0), 1}, EndReason::kDone, "").records.empty());
}

}  // namespace
}  // namespace clementineloom::workload
