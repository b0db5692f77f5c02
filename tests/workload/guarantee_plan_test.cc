#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <random>
#include <string>

#include "workload/planner_test.h"

namespace clementineloom::workload {
namespace {

class GuaranteePlanTest : public PlannerTest {
 protected:
  static StepSpec Gang(std::uint32_t tasks, std::int64_t accelerators) {
    StepSpec step = Step(tasks, accelerators);
    step.is_gang = true;
    return step;
  }
  void Start(const std::string& id, const StepSpec& step, std::uint32_t priority,
             const std::string& team) {
    Submit(id, step, priority, 0, team);
    ApplyStarts(Plan());
  }
  // Whether a plan stops runs of this job, and of no other.
  static bool StopsOnly(const StartPlan& plan, const std::string& job) {
    return !plan.preemptions.empty() &&
           std::all_of(plan.preemptions.begin(), plan.preemptions.end(),
                       [&](const Preemption& it) { return it.run.task.step.job == job; });
  }

  // Fills six workers with work of four teams, most of it urgent, and adds some jobs that wait.
  void FillAtRandom(std::uint32_t seed) {
    std::mt19937 random(seed);
    jobs_.Clear();
    workers_.clear();
    for (int n = 0; n < 6; ++n) {
      AddWorker("w" + std::to_string(n), "r" + std::to_string(n / 2));
    }
    for (int n = 0; n < 12; ++n) {
      SubmitAtRandom(n, random);
      now_ += Milliseconds(random() % 1'000);
      ApplyStarts(Plan());
    }
    for (int n = 12; n < 18; ++n) {
      SubmitAtRandom(n, random);
    }
  }
  void SubmitAtRandom(int number, std::mt19937& random) {
    constexpr std::int64_t kSizes[] = {1, 2, 4, 8};
    StepSpec step = Step(1 + random() % 3, kSizes[random() % std::size(kSizes)]);
    step.is_gang = random() % 2 == 0;
    step.prefers_one_rack = random() % 2 == 0;
    Submit("j" + std::to_string(100 + number), step, random() % 5 == 0 ? 2 : 0, 0,
           teams_[random() % teams_.size()].name);
  }

  // Accelerators that each team's urgent runs hold once the runs that a plan stops have ended.
  std::map<std::string, std::int64_t> HeldByTeam(const StartPlan& plan) const {
    std::map<std::string, std::int64_t> held;
    for (const auto& [id, worker] : workers_) {
      for (const auto& [run, placed] : worker.runs) {
        if (placed.priority == 0 && !IsStopped(run, plan)) {
          held[jobs_.Find(run.task.step.job)->submission->team] += placed.reserved.accelerators;
        }
      }
    }
    return held;
  }
  // Accelerators of the largest urgent run of a team that a plan stops, a gang's as one.
  std::int64_t LargestStopOf(const std::string& team, const StartPlan& plan) const {
    std::int64_t largest = 0;
    for (const Preemption& it : plan.preemptions) {
      const JobEntry* job = jobs_.Find(it.run.task.step.job);
      const StepSpec& step = *jobs_.FindStep(it.run.task.step);
      if (job->submission->team == team && job->submission->queue.priority == 0) {
        largest = std::max(largest, step.per_task.accelerators *
                                        (step.is_gang ? std::int64_t{step.task_count} : 1));
      }
    }
    return largest;
  }
  // A gang is stopped whole.
  bool IsStopped(const TaskRun& run, const StartPlan& plan) const {
    const bool is_gang = jobs_.FindStep(run.task.step)->is_gang;
    return std::any_of(plan.preemptions.begin(), plan.preemptions.end(), [&](const Preemption& it) {
      return it.run == run || (is_gang && it.run.task.step == run.task.step);
    });
  }
};

// Guards against a team within its guarantee that waits while other teams exceed theirs.
TEST_F(GuaranteePlanTest, Guaranteed_WhereUrgentWorkBeyondGuaranteesFillsTheFleet_StopsIt) {
  AddWorker("w1", "r1");
  teams_ = {{"a", {}, 2}, {"b", {}, 4}};
  Start("beyond", Step(8, 1), 0, "a");
  Submit("urgent", Step(1, 2), 0, 0, "b");
  const StartPlan plan = Plan();
  EXPECT_EQ(plan.preemptions.size(), 2U);
  EXPECT_TRUE(StopsOnly(plan, "beyond"));
  EXPECT_EQ(plan.claims.size(), 1U);
}

// Guards against urgent work of a public queue, or of a removed team, that is never preempted.
TEST_F(GuaranteePlanTest, Guaranteed_WhereWorkOfNoTeamFillsTheFleet_StopsIt) {
  AddWorker("w1", "r1");
  teams_ = {{"b", {}, 4}};
  Start("public", Step(1, 8), 0, "");
  Submit("urgent", Step(1, 2), 0, 0, "b");
  EXPECT_TRUE(StopsOnly(Plan(), "public"));
}

// Guards against a team that loses guaranteed accelerators to another team.
TEST_F(GuaranteePlanTest, Guaranteed_WhereOthersAreWithinTheirGuarantees_StopsNothing) {
  AddWorker("w1", "r1");
  teams_ = {{"a", {}, 8}, {"b", {}, 2}};
  Start("within", Step(8, 1), 0, "a");
  Submit("urgent", Step(1, 2), 0, 0, "b");
  EXPECT_TRUE(Plan().preemptions.empty());
}

// Guards against stopping a gang that costs its team more accelerators than it holds beyond its
// guarantee.
TEST_F(GuaranteePlanTest, Guaranteed_WhereAGangHoldsPartOfAGuarantee_StopsOtherWork) {
  AddWorker("w1", "r1");
  teams_ = {{"a", {}, 4}, {"b", {}, 2}};
  Start("singles", Step(2, 1), 0, "a");
  now_ += Milliseconds(5'000);
  Start("gang", Gang(2, 3), 0, "a");
  now_ += Milliseconds(1'000);
  Submit("urgent", Step(1, 2), 0, 0, "b");
  const StartPlan plan = Plan();
  EXPECT_EQ(plan.preemptions.size(), 2U);
  EXPECT_TRUE(StopsOnly(plan, "singles"));
}

// Guards against a gang on two workers that counts twice against the accelerators that its team has
// borrowed.
TEST_F(GuaranteePlanTest, Guaranteed_WhereAGangHasBorrowedAllThatIsNeeded_StopsItOnce) {
  AddWorker("w1", "r1");
  AddWorker("w2", "r1");
  teams_ = {{"b", {}, 16}};
  Start("gang", Gang(2, 8), 0, "a");
  StepSpec urgent = Gang(2, 8);
  urgent.prefers_one_rack = true;
  Submit("urgent", urgent, 0, 0, "b");
  const StartPlan plan = Plan();
  EXPECT_EQ(plan.claims.size(), 2U);
  EXPECT_TRUE(StopsOnly(plan, "gang"));
}

// Guards against stopping urgent runs while less urgent ones could be stopped.
TEST_F(GuaranteePlanTest, Guaranteed_WhereLessUrgentWorkRuns_StopsThatFirst) {
  AddWorker("w1", "r1");
  AddWorker("w2", "r1");
  teams_ = {{"b", {}, 8}};
  Start("bulk", Step(1, 8), 2, "a");
  now_ += Milliseconds(8'000);
  Start("beyond", Step(1, 8), 0, "a");
  now_ += Milliseconds(100);
  Submit("urgent", Step(1, 2), 0, 0, "b");
  EXPECT_TRUE(StopsOnly(Plan(), "bulk"));
}

// Guards against losing more work than needed.
TEST_F(GuaranteePlanTest, Guaranteed_WhereTwoRunsExceedAGuarantee_StopsTheYounger) {
  AddWorker("w1", "r1");
  AddWorker("w2", "r1");
  teams_ = {{"b", {}, 8}};
  Start("old", Step(1, 8), 0, "a");
  now_ += Milliseconds(5'000);
  Start("young", Step(1, 8), 0, "a");
  now_ += Milliseconds(100);
  Submit("urgent", Step(1, 2), 0, 0, "b");
  EXPECT_TRUE(StopsOnly(Plan(), "young"));
}

// Guards against teams beyond their guarantees that preempt each other.
TEST_F(GuaranteePlanTest, Urgent_BeyondItsGuarantee_StopsNoUrgentWork) {
  AddWorker("w1", "r1");
  teams_ = {{"a", {}, 2}, {"b", {}, 2}};
  Start("beyond", Step(8, 1), 0, "a");
  Submit("urgent", Step(1, 4), 0, 0, "b");
  EXPECT_TRUE(Plan().preemptions.empty());
}

// Guards against work within a guarantee that queues behind older work beyond one.
TEST_F(GuaranteePlanTest, Guaranteed_DueLaterThanWorkBeyondGuarantees_GoesFirst) {
  AddWorker("w1", "r1");
  teams_ = {{"a", {}, 2}, {"b", {}, 8}};
  Submit("older", Step(1, 8), 0, 10'000, "a");
  Submit("younger", Step(1, 8), 0, 20'000, "b");
  const StartPlan plan = Plan();
  ASSERT_EQ(plan.starts.size(), 1U);
  EXPECT_EQ(plan.starts[0].run.run.task.step.job, "younger");
}

// Guards against a claim on room for work beyond a guarantee that is kept while work within one
// waits.
TEST_F(GuaranteePlanTest, Guaranteed_WhereRoomIsBeingClearedForOtherUrgentWork_TakesIt) {
  AddWorker("w1", "r1");
  teams_ = {{"b", {}, 8}};
  Start("bulk", Step(1, 8), 2, "a");
  Submit("beyond", Step(1, 8), 0, 0, "a");
  const StartPlan first = Plan();
  ASSERT_EQ(first.preemptions.size(), 1U);
  BeginStops(first);
  claims_ = first.claims;
  Submit("urgent", Step(1, 8), 0, 50'000, "b");
  const StartPlan second = Plan();
  EXPECT_TRUE(second.preemptions.empty());
  ASSERT_EQ(second.claims.size(), 1U);
  EXPECT_EQ(second.claims[0].task.step.job, "urgent");
}

// Guards against stopping urgent runs that would soon have ended by themselves.
TEST_F(GuaranteePlanTest, Guaranteed_ThatIsJustDue_WaitsASecondBeforeItStopsUrgentWork) {
  AddWorker("w1", "r1");
  teams_ = {{"b", {}, 4}};
  Start("beyond", Step(8, 1), 0, "a");
  Submit("urgent", Step(1, 2), 0, 90'000, "b");
  EXPECT_TRUE(Plan(90'999).preemptions.empty());
  EXPECT_EQ(Plan(91'000).preemptions.size(), 2U);
}

// Guards against preemption for a guarantee that the operator has lowered.
TEST_F(GuaranteePlanTest, Urgent_WhoseGuaranteeWasLowered_StopsNoUrgentWork) {
  AddWorker("w1", "r1");
  teams_ = {{"b", {}, 4}};
  Start("beyond", Step(8, 1), 0, "a");
  Submit("urgent", Step(1, 2), 0, 0, "b");
  ASSERT_FALSE(Plan().preemptions.empty());
  teams_ = {{"b", {}, 1}};
  EXPECT_TRUE(Plan().preemptions.empty());
}

// Guards against further stops of a team that earlier stops have brought within its guarantee, on
// random fleets: only the last stop may reach into the guarantee, with a run that lies partly
// beyond it.
TEST_F(GuaranteePlanTest, Stops_OnRandomFleets_AreOfTeamsBeyondTheirGuarantee) {
  teams_ = {{"a", {}, 12}, {"b", {}, 10}, {"c", {}, 10}, {"", {}, 0}};
  std::size_t stops = 0;
  for (std::uint32_t seed = 1; seed <= 200; ++seed) {
    FillAtRandom(seed);
    const StartPlan plan = Plan();
    stops += plan.preemptions.size();
    const std::map<std::string, std::int64_t> before = HeldByTeam({});
    std::map<std::string, std::int64_t> after = HeldByTeam(plan);
    for (const TeamAccess& it : teams_) {
      const auto held = before.find(it.name);
      const std::int64_t kept = held == before.end() ? 0 : held->second;
      if (after[it.name] != kept) {
        EXPECT_GT(after[it.name] + LargestStopOf(it.name, plan), it.guaranteed_accelerators)
            << "seed " << seed << ", team " << it.name;
      }
    }
  }
  EXPECT_GT(stops, 0U);
}

}  // namespace
}  // namespace clementineloom::workload
