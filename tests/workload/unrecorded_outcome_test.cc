#include <gtest/gtest.h>

#include "clementineloom/workload/run_outcome.h"

namespace clementineloom::workload {
namespace {

// Ends of runs that are not the last recorded run of their task.
class UnrecordedOutcomeTest : public testing::Test {
 protected:
  UnrecordedOutcomeTest() {
    JobSubmission submission;
    submission.id = "job";
    submission.queue.max_attempts = 2;
    submission.steps.resize(1);
    submission.steps[0].task_count = 1;
    table_.Apply(SubmissionSet{"job", submission});
  }

  void Record(TaskPhase phase, std::uint64_t run, const std::string& worker) {
    table_.Apply(TaskSet{task_, TaskRecord{phase, run, worker, 0, ""}});
  }
  RunOutcome End(std::uint64_t run, EndReason reason) {
    return OutcomeOf(table_, "w", {task_, run}, reason, "");
  }

  const TaskId task_{{"job", 0, 0}, 0};
  JobTable table_;
};

// Guards against a task that runs again although a run without a record is done.
TEST_F(UnrecordedOutcomeTest, Done_OfATaskThatNeverStarted_CompletesTheJob) {
  EXPECT_EQ(End(1, EndReason::kDone).ended_job, JobState::kCompleted);
}

// Guards against the same after the run was given up for lost.
TEST_F(UnrecordedOutcomeTest, Done_OfARunGivenUpForLost_CompletesTheJob) {
  Record(TaskPhase::kWaiting, 1, "w");
  EXPECT_EQ(End(1, EndReason::kDone).ended_job, JobState::kCompleted);
}

// Guards against the same while an owner that did not find the record has placed the task anew
// under the same number.
TEST_F(UnrecordedOutcomeTest, Done_OfARunWithTheNumberOfOneElsewhere_CompletesTheJob) {
  Record(TaskPhase::kPlaced, 1, "w2");
  EXPECT_EQ(End(1, EndReason::kDone).ended_job, JobState::kCompleted);
}

// Guards against an unrecorded run whose other ends change the task's record.
TEST_F(UnrecordedOutcomeTest, Failed_OfAnUnrecordedRun_ChangesNothing) {
  EXPECT_TRUE(End(1, EndReason::kFailed).records.empty());
}

// Guards against a cancelled job that is shown as completed.
TEST_F(UnrecordedOutcomeTest, Done_OfACancelledJob_ChangesNothing) {
  table_.Apply(CancellationSet{"job", true});
  const RunOutcome outcome = End(1, EndReason::kDone);
  EXPECT_FALSE(outcome.ended_job.has_value());
  EXPECT_TRUE(outcome.records.empty());
}

}  // namespace
}  // namespace clementineloom::workload
