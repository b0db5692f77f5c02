#include <gtest/gtest.h>

#include <map>
#include <string>

#include "workload/planner_test.h"

namespace clementineloom::workload {
namespace {

/// Fixture with a small fleet that several teams want whole.
class TeamShareTest : public PlannerTest {
 protected:
  void SetUp() override {
    for (const char* it : {"w1", "w2", "w3", "w4"}) {
      AddWorker(it, "r1");
    }
  }
  // Accelerators by team that the starts of a plan take.
  std::map<std::string, int> StartsByTeam(const StartPlan& plan) {
    std::map<std::string, int> starts;
    for (const PlannedStart& it : plan.starts) {
      ++starts[jobs_.Find(it.run.run.task.step.job)->submission->team];
    }
    return starts;
  }
  void SubmitMany(const std::string& team, int jobs, std::int64_t accepted_at_ms) {
    for (int n = 0; n < jobs; ++n) {
      Submit(team + std::to_string(n), Step(1, 1), 1, accepted_at_ms + n, team);
    }
  }
};

// Guards against a team that gets nearly the whole fleet because it submits most.
TEST_F(TeamShareTest, Teams_OfEqualWeightOnAFullFleet_GetEqualParts) {
  teams_ = {{"blue", {}, 0, 3, {}}, {"green", {}, 0, 3, {}}};
  SubmitMany("blue", 70, 0);
  SubmitMany("green", 20, 100);
  EXPECT_EQ(StartsByTeam(Plan()), (std::map<std::string, int>{{"blue", 16}, {"green", 16}}));
}

// Guards against weights that are not followed.
TEST_F(TeamShareTest, Teams_OfUnequalWeightOnAFullFleet_GetPartsByWeight) {
  teams_ = {{"blue", {}, 0, 3, {}}, {"green", {}, 0, 1, {}}};
  SubmitMany("blue", 70, 0);
  SubmitMany("green", 70, 100);
  EXPECT_EQ(StartsByTeam(Plan()), (std::map<std::string, int>{{"blue", 24}, {"green", 8}}));
}

// Guards against room that idles because it is another team's share.
TEST_F(TeamShareTest, Team_BesideIdleTeams_TakesTheWholeFleet) {
  teams_ = {{"blue", {}, 0, 1, {}}, {"green", {}, 0, 9, {}}};
  SubmitMany("blue", 70, 0);
  EXPECT_EQ(StartsByTeam(Plan()), (std::map<std::string, int>{{"blue", 32}}));
}

// Guards against shares by which less urgent work goes before more urgent work.
TEST_F(TeamShareTest, UrgentStep_OfATeamAboveItsShare_GoesBeforeOtherWork) {
  teams_ = {{"blue", {}, 0, 1, {}}, {"green", {}, 0, 1, {}}};
  SubmitMany("blue", 31, 0);
  ApplyStarts(Plan());
  SubmitMany("green", 1, 0);
  Submit("urgent", Step(1, 1), kPreemptingPriority, 200, "blue");
  EXPECT_EQ(StartsByTeam(Plan()), (std::map<std::string, int>{{"blue", 1}}));
}

// Guards against another order than by age where no team has a weight.
TEST_F(TeamShareTest, Teams_WithoutWeights_GoByAge) {
  teams_ = {{"blue", {}, 0, 0, {}}, {"green", {}, 0, 0, {}}};
  SubmitMany("blue", 70, 0);
  SubmitMany("green", 70, 100);
  EXPECT_EQ(StartsByTeam(Plan()), (std::map<std::string, int>{{"blue", 32}}));
}

// Guards against victims of teams that have less than their share.
TEST_F(TeamShareTest, UrgentStep_OnAFullFleet_StopsRunsOfTheTeamAboveItsShare) {
  teams_ = {{"blue", {}, 0, 1, {}}, {"green", {}, 0, 1, {}}, {"red", {}, 0, 1, {}}};
  SubmitMany("green", 8, 0);
  ApplyStarts(Plan());
  now_ += Milliseconds(5'000);
  SubmitMany("blue", 24, 100);
  ApplyStarts(Plan());
  // The runs of the team above its share have lost more by then than those of the other.
  for (auto& [id, worker] : workers_) {
    for (auto& [run, placed] : worker.runs) {
      placed.placed_at = run.task.step.job.starts_with("blue") ? SteadyTime() : now_;
    }
  }
  Submit("urgent", Step(2, 8), kPreemptingPriority, 200, "red");
  const StartPlan plan = Plan();
  ASSERT_FALSE(plan.preemptions.empty());
  for (const Preemption& it : plan.preemptions) {
    EXPECT_TRUE(it.run.task.step.job.starts_with("blue")) << it.run.task.step.job;
  }
}

}  // namespace
}  // namespace clementineloom::workload
