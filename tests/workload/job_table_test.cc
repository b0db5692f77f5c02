#include "clementineloom/workload/job_table.h"

#include <gtest/gtest.h>

namespace clementineloom::workload {
namespace {

class JobTableTest : public testing::Test {
 protected:
  static SubmissionSet Submission(std::uint32_t tasks) {
    JobSubmission submission;
    submission.id = "job";
    submission.queue.name = "urgent";
    submission.steps.resize(2);
    submission.steps[0].task_count = tasks;
    submission.steps[1].task_count = 1;
    submission.steps[1].depends_on = {0};
    return {"job", submission};
  }
  static TaskSet Task(std::uint32_t step, std::uint32_t index, TaskPhase phase) {
    return {{{"job", 0, step}, index}, TaskRecord{phase, 1, "w", 0, ""}};
  }

  JobTable table_;
};

// Guards against a table that depends on the order in which the records are loaded.
TEST_F(JobTableTest, Apply_OfTasksBeforeTheirSubmission_GivesTheSameTable) {
  JobTable other;
  table_.Apply(Submission(2));
  table_.Apply(Task(0, 1, TaskPhase::kDone));
  other.Apply(Task(0, 1, TaskPhase::kDone));
  other.Apply(Submission(2));
  other.Apply(Task(0, 1, TaskPhase::kDone));
  EXPECT_EQ(table_.Find("job")->tasks, other.Find("job")->tasks);
  EXPECT_EQ(table_.Find("job")->submission, other.Find("job")->submission);
}

// Guards against a step that starts while one that it depends on is not done.
TEST_F(JobTableTest, Dependencies_WhileOneTaskRuns_AreNotDone) {
  table_.Apply(Submission(2));
  table_.Apply(Task(0, 0, TaskPhase::kDone));
  table_.Apply(Task(0, 1, TaskPhase::kPlaced));
  EXPECT_FALSE(table_.Find("job")->AreDependenciesDone(0, 1));
  table_.Apply(Task(0, 1, TaskPhase::kDone));
  EXPECT_TRUE(table_.Find("job")->AreDependenciesDone(0, 1));
  EXPECT_FALSE(table_.Find("job")->IsAllDone());
}

// Guards against a cancellation that is lost because it came before the submission.
TEST_F(JobTableTest, Apply_OfACancellationFirst_CancelsTheJob) {
  table_.Apply(CancellationSet{"job", true});
  table_.Apply(Submission(1));
  EXPECT_EQ(table_.Find("job")->State(), JobState::kCancelled);
  EXPECT_FALSE(table_.Find("job")->IsOpen());
}

// Guards against entries that stay after all their records were dropped.
TEST_F(JobTableTest, Apply_OfDropsForAllRecords_ForgetsTheJob) {
  table_.Apply(Submission(1));
  table_.Apply(Task(0, 0, TaskPhase::kDone));
  table_.Apply(JobEndSet{"job", JobState::kCompleted});
  EXPECT_EQ(table_.Find("job")->State(), JobState::kCompleted);
  table_.Apply(TaskSet{{{"job", 0, 0}, 0}, std::nullopt});
  table_.Apply(SubmissionSet{"job", std::nullopt});
  table_.Apply(JobEndSet{"job", std::nullopt});
  EXPECT_EQ(table_.Find("job"), nullptr);
}

// Guards against a count of waiting jobs that includes begun, cancelled or other queues' jobs.
TEST_F(JobTableTest, PendingCount_OfAQueue_CountsOpenJobsThatHaveNotBegun) {
  table_.Apply(Submission(1));
  EXPECT_EQ(table_.PendingCount("urgent"), 1U);
  EXPECT_EQ(table_.PendingCount("bulk"), 0U);
  table_.Apply(Task(0, 0, TaskPhase::kPlaced));
  EXPECT_EQ(table_.PendingCount("urgent"), 0U);
}

}  // namespace
}  // namespace clementineloom::workload
