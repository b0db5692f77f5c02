#include "soak/standing_still_check.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "soak/soak_fleet.h"

namespace clementineloom::soak {
namespace {

using standin::RunEvent;
using standin::RunEventKind;

constexpr const char* kJob = "00000000000000aa";
constexpr const char* kOther = "00000000000000bb";

// Guards against a judge that passes whatever stands still, or reports what the rule excuses.
class StandingStillCheckTest : public testing::Test {
 protected:
  StandingStillCheckTest() {
    shapes_[kJob].steps = {{.count = 4, .task = {52'000, 140'000, 1}, .is_gang = true}};
    shapes_[kOther].steps = {{.count = 40, .task = {11'000, 29'000, 1}}};
  }
  // An event of a task of the first step of a job.
  static RunEvent Event(RunEventKind kind, const std::string& job, int index, std::int64_t at_ms,
                        int worker, const std::string& how = {}) {
    return {kind, "w" + std::to_string(worker), job + ".0.0." + std::to_string(index), 1, how,
            at_ms};
  }
  [[nodiscard]] std::vector<Violation> Check(const std::vector<RunEvent>& events) const {
    return StandingStillCheck(jobs_, shapes_, fleet_.workers(), causes_, window_).Check(events);
  }

  const SoakFleet fleet_ = SoakFleet::Make(JobMix::kShapes, 12, 8);
  std::map<std::string, JobTimes> jobs_{{kJob, JobTimes{1'000, std::nullopt}}};
  std::map<std::string, JobShape> shapes_;
  FailureCauses causes_{{}, 3};
  CalmWindow window_{0, 4'000, 0};
};

TEST_F(StandingStillCheckTest, Job_WithNothingRunningForThreeSeconds_IsLost) {
  const auto found = Check({});
  ASSERT_EQ(found.size(), 1U);
  EXPECT_EQ(found[0].rule, "LOST");
  EXPECT_NE(found[0].detail.find("from 1000 to 4000 ms (3000 ms"), std::string::npos)
      << found[0].detail;
  window_.to_ms = 3'999;
  EXPECT_TRUE(Check({}).empty());
}

TEST_F(StandingStillCheckTest, Job_ThatStandsStillBeforeTheWindow_IsExcused) {
  window_ = CalmWindow::Of(0, 1'500, 6'900, StillJudging::kTraffic);
  EXPECT_TRUE(Check({}).empty());
  window_ = CalmWindow::Of(0, 1'500, 7'000, StillJudging::kTraffic);
  EXPECT_EQ(Check({}).size(), 1U);
  window_ = CalmWindow::Of(0, 4'500, 7'000, StillJudging::kCalm);
  EXPECT_TRUE(Check({}).empty());
  window_ = CalmWindow::Of(0, 0, 9'000, StillJudging::kNever);
  EXPECT_TRUE(Check({}).empty());
}

TEST_F(StandingStillCheckTest, CancelledJob_WithNothingRunning_IsExcused) {
  jobs_[kJob].cancel_sent_ms = 3'900;
  EXPECT_TRUE(Check({}).empty());
}

TEST_F(StandingStillCheckTest, Job_WithOneTaskRunning_IsExcused) {
  window_.to_ms = 9'000;
  EXPECT_TRUE(Check({Event(RunEventKind::kStarted, kJob, 0, 3'900, 0),
                     Event(RunEventKind::kEnded, kJob, 0, 6'100, 0, "stopped")})
                  .empty());
  EXPECT_EQ(Check({Event(RunEventKind::kStarted, kJob, 0, 3'900, 0),
                   Event(RunEventKind::kEnded, kJob, 0, 6'000, 0, "stopped")})
                .size(),
            1U);
}

TEST_F(StandingStillCheckTest, Gang_OneOfWhoseMembersEndedAsDone_IsOver) {
  window_.to_ms = 9'000;
  EXPECT_TRUE(Check({Event(RunEventKind::kStarted, kJob, 0, 1'100, 0),
                     Event(RunEventKind::kEnded, kJob, 0, 1'200, 0, "done")})
                  .empty());
  EXPECT_EQ(Check({Event(RunEventKind::kStarted, kJob, 0, 1'100, 0),
                   Event(RunEventKind::kEnded, kJob, 0, 1'200, 0, "done"),
                   Event(RunEventKind::kForgotten, kJob, 0, 1'300, 0)})
                .size(),
            1U);
}

TEST_F(StandingStillCheckTest, Gang_OfWhichMemoryLeavesRoomForLessThanTwo_IsExcused) {
  // Five such tasks leave too little memory for a task of the gang, beside free accelerators.
  std::vector<RunEvent> events;
  events.reserve(25);
  for (int worker = 0; worker < 5; ++worker) {
    for (int n = 0; n < 5; ++n) {
      events.push_back(Event(RunEventKind::kStarted, kOther, worker * 5 + n, 500, worker));
    }
  }
  EXPECT_TRUE(Check(events).empty());
  events.pop_back();
  EXPECT_EQ(Check(events).size(), 1U);
}

TEST_F(StandingStillCheckTest, Job_WhileHalfOfOneResourceIsInUse_IsExcused) {
  shapes_[kJob].steps[0].count = 1;
  shapes_[kOther].steps[0].task = {0, 128'000, 0};
  std::vector<RunEvent> events;
  events.reserve(12);
  for (int n = 0; n < 12; ++n) {
    events.push_back(Event(RunEventKind::kStarted, kOther, n, 500, n / 2));
  }
  EXPECT_TRUE(Check(events).empty());
  events.pop_back();
  EXPECT_EQ(Check(events).size(), 1U);
}

TEST_F(StandingStillCheckTest, Step_WithoutWorkersOfItsLabelTwiceOver_IsExcused) {
  shapes_[kJob].steps[0].required_label = SoakFleet::kRareKind;
  EXPECT_TRUE(Check({}).empty());
  shapes_[kJob].steps[0].required_label = SoakFleet::kUsualKind;
  EXPECT_EQ(Check({}).size(), 1U);
}

TEST_F(StandingStillCheckTest, LaterStep_OfAStepThatIsDone_HasItsTurnThen) {
  shapes_[kJob].steps.push_back({.count = 1, .task = {1, 1, 1}, .depends_on = {0}});
  window_.to_ms = 5'000;
  const std::vector<RunEvent> events{Event(RunEventKind::kStarted, kJob, 0, 1'100, 0),
                                     Event(RunEventKind::kEnded, kJob, 0, 2'000, 0, "done")};
  const auto found = Check(events);
  ASSERT_EQ(found.size(), 1U);
  EXPECT_NE(found[0].detail.find("from 2000 to 5000 ms"), std::string::npos) << found[0].detail;
}

TEST_F(StandingStillCheckTest, Job_ThatHasFailedForGood_IsExcused) {
  causes_ = FailureCauses({Event(RunEventKind::kEnded, kJob, 0, 900, 0, "failed")}, 1);
  EXPECT_TRUE(Check({}).empty());
}

}  // namespace
}  // namespace clementineloom::soak
