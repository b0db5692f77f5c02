#include "clementineloom/workload/rate_refusal.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <set>
#include <string>

#include "clementineloom/workload/expected_wait.h"
#include "clementineloom/workload/submission_rate.h"
#include "workload/planner_test.h"

namespace clementineloom::workload {
namespace {

/// Fixture with a fleet of 8 accelerators, and a team that may submit two jobs a second.
class RateRefusalTest : public PlannerTest {
 protected:
  void SetUp() override { AddWorker("w1", "r1"); }

  // A job whose objective leaves it one second beside its two seconds of work.
  static JobSubmission Job(const std::string& id, std::int64_t accelerators) {
    JobSubmission submission;
    submission.id = id;
    submission.team = "blue";
    submission.queue.service = "inspect";
    submission.queue.priority = 1;
    submission.queue.stretch = 1.5;
    StepSpec step = Step(1, accelerators);
    step.estimate_ms = 2'000;
    submission.steps = {step};
    return submission;
  }
  void SubmitJobs(int count, std::int64_t accelerators) {
    for (int n = 0; n < count; ++n) {
      const std::string id = "job" + std::to_string(100 + n);
      jobs_.Apply(SubmissionSet{id, Job(id, accelerators)});
    }
  }
  std::optional<RateRefusal> RefusalOf(const JobSubmission& job) {
    return RateRefusal::Of(job, ExpectedWait(jobs_, workers_, job));
  }
};

// Guards against a refusal while there is room.
TEST_F(RateRefusalTest, Job_OnAnIdleFleet_IsNotRefused) { EXPECT_FALSE(RefusalOf(Job("new", 8))); }

// Guards against the same for a job that is wider than the fleet, and for one that cannot meet its
// objective anyhow.
TEST_F(RateRefusalTest, Job_ThatCannotMeetItsObjective_IsNotRefusedOnAnIdleFleet) {
  EXPECT_FALSE(RefusalOf(Job("new", 64)));
  JobSubmission late = Job("late", 8);
  late.queue.stretch = 0.5;
  EXPECT_FALSE(RefusalOf(late));
}

// Guards against a job that is accepted although it begins after its objective, and against refused
// callers that all return at the same time.
TEST_F(RateRefusalTest, Jobs_BehindMoreWorkThanTheirObjectiveAllows_AreRefusedUntilUnlikeTimes) {
  SubmitJobs(5, 8);
  EXPECT_EQ(ExpectedWait(jobs_, workers_, Job("new", 8)), Milliseconds(10'000));
  std::set<std::chrono::seconds> times;
  for (int n = 0; n < 50; ++n) {
    const auto refusal = RefusalOf(Job("new" + std::to_string(n), 8));
    ASSERT_TRUE(refusal.has_value());
    EXPECT_GE(refusal->retry_after, std::chrono::seconds(9));
    EXPECT_LE(refusal->retry_after, std::chrono::seconds(18));
    times.insert(refusal->retry_after);
  }
  EXPECT_GT(times.size(), 5U);
}

// Guards against a refusal of a job that would still begin in time.
TEST_F(RateRefusalTest, Job_BehindLittleWork_IsNotRefused) {
  SubmitJobs(4, 1);
  EXPECT_FALSE(RefusalOf(Job("new", 8)));
}

// Guards against an overflow by the largest job that callers may submit.
TEST_F(RateRefusalTest, Job_BehindTheLargestJob_IsRefused) {
  JobSubmission huge = Job("huge", 1'000'000);
  huge.steps.front().task_count = 10'000;
  huge.steps.front().estimate_ms = 2'147'483'647;
  huge.steps.front().per_task.cpu_millicores = 100'000'000;
  jobs_.Apply(SubmissionSet{"huge", huge});
  EXPECT_TRUE(RefusalOf(Job("new", 8)));
}

// Guards against a team that is within its rate and is told that it is not, and the other way
// round.
TEST_F(RateRefusalTest, Team_AfterMoreJobsThanItsRate_IsBeyondItUntilTokensAreBack) {
  const TeamAccess team{"blue", {}, 0, 2, {}};
  EXPECT_TRUE(IsWithinRate(jobs_, team, 0));
  SubmitJobs(4, 1);
  EXPECT_FALSE(IsWithinRate(jobs_, team, 0));
  EXPECT_TRUE(IsWithinRate(jobs_, team, 500));
}

// Guards against the refusal of guaranteed work.
TEST_F(RateRefusalTest, UrgentJob_BesideOthersOfItsTeam_IsWithinTheGuaranteeUpToItsSize) {
  const TeamAccess team{"blue", {}, 6, 2, {}};
  JobSubmission urgent = Job("urgent", 4);
  urgent.queue.priority = kPreemptingPriority;
  EXPECT_TRUE(IsWithinGuarantee(jobs_, team, urgent));
  jobs_.Apply(SubmissionSet{"urgent", urgent});
  urgent.id = "second";
  EXPECT_FALSE(IsWithinGuarantee(jobs_, team, urgent));
  urgent.steps.front().per_task.accelerators = 2;
  EXPECT_TRUE(IsWithinGuarantee(jobs_, team, urgent));
}

}  // namespace
}  // namespace clementineloom::workload
