#include "clementineloom/workload/submission_rate.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "workload/planner_test.h"

namespace clementineloom::workload {
namespace {

/// Fixture with one team that may submit two jobs a second.
class SubmissionRateTest : public PlannerTest {
 protected:
  void SetUp() override { teams_ = {{"blue", {}, 0, 2, {}}}; }

  // Submits jobs of a team at equal intervals.
  void SubmitEvery(std::int64_t interval_ms, int jobs, const std::string& team = "blue") {
    for (int n = 0; n < jobs; ++n) {
      Submit(team + std::to_string(100 + n), Step(1, 1), 1, interval_ms * n, team);
    }
  }
  // A run of less urgent work that fills a worker.
  PlacedRun BatchRun() {
    Submit("batch", Step(1, 8), 2, 0, "green");
    PlacedRun run = PlacedRun::Of({{{"batch", 0, 0}, 0}, 1}, Step(1, 8), 2, now_);
    run.stage = RunStage::kRunning;
    return run;
  }
  std::vector<std::string> Beyond() { return JobsBeyondRate(jobs_, teams_); }
};

// Guards against work that ranks behind although its team keeps to its rate.
TEST_F(SubmissionRateTest, Jobs_AtTheRate_AreWithinIt) {
  SubmitEvery(500, 100);
  EXPECT_TRUE(Beyond().empty());
}

// Guards against a rate that counts what is beyond it, so that nothing of the team is within it.
TEST_F(SubmissionRateTest, Jobs_AtSeveralTimesTheRate_AreWithinItInPart) {
  SubmitEvery(100, 100);
  // Two jobs a second for 9.9 seconds, after four saved ones.
  EXPECT_EQ(Beyond().size(), 100U - 23U);
}

// Guards against a rate for teams that have none.
TEST_F(SubmissionRateTest, Jobs_OfATeamWithoutWeight_AreWithinAnyRate) {
  SubmitEvery(1, 100, "green");
  EXPECT_TRUE(Beyond().empty());
}

// Guards against a new owner that ranks the jobs otherwise, because it has read them in another
// order or twice.
TEST_F(SubmissionRateTest, Jobs_ReadInAnotherOrder_HaveTheSameRanks) {
  SubmitEvery(100, 30);
  const std::vector<std::string> before = Beyond();
  JobTable reloaded;
  for (auto it = jobs_.jobs().rbegin(); it != jobs_.jobs().rend(); ++it) {
    reloaded.Apply(SubmissionSet{it->first, it->second.submission});
    reloaded.Apply(SubmissionSet{it->first, it->second.submission});
  }
  EXPECT_EQ(JobsBeyondRate(reloaded, teams_), before);
}

// Guards against the end of a job that brings a later one within the rate.
TEST_F(SubmissionRateTest, Job_ThatHasEnded_StillCounts) {
  SubmitEvery(1, 5);
  jobs_.Apply(JobEndSet{"blue100", JobState::kCompleted});
  EXPECT_EQ(Beyond(), std::vector<std::string>{"blue104"});
}

// Guards against work beyond a rate that goes before work within one, or stops other work.
TEST_F(SubmissionRateTest, UrgentStep_BeyondTheRate_GoesLastAndStopsNothing) {
  AddWorker("w1", "r1");
  teams_.push_back({"green", {}, 0, 2, {}});
  for (int n = 0; n < 4; ++n) {
    const std::string id = "a-saved" + std::to_string(n);
    Submit(id, Step(1, 2), kPreemptingPriority, 0, "blue");
    jobs_.Apply(JobEndSet{id, JobState::kCompleted});
  }
  Submit("beyond", Step(1, 8), kPreemptingPriority, 1, "blue");
  const std::vector<std::string> beyond = Beyond();
  ASSERT_EQ(beyond, std::vector<std::string>{"beyond"});
  PlanRequest request{jobs_, workers_, evacuated_, advice_, claims_, now_, 100'000, teams_};
  request.jobs_beyond_rate = beyond;
  Submit("within", Step(1, 8), kPreemptingPriority, 2, "green");
  const StartPlan plan = PlanStarts(request);
  ASSERT_EQ(plan.starts.size(), 1U);
  EXPECT_EQ(plan.starts.front().run.run.task.step.job, "within");
  jobs_.Apply(JobEndSet{"within", JobState::kCompleted});
  workers_["w1"].Add(BatchRun());
  EXPECT_TRUE(PlanStarts(request).preemptions.empty());
  request.jobs_beyond_rate = {};
  EXPECT_EQ(PlanStarts(request).preemptions.size(), 1U);
}

}  // namespace
}  // namespace clementineloom::workload
