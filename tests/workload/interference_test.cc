#include <gtest/gtest.h>

#include <cmath>
#include <random>
#include <string>
#include <vector>

#include "clementineloom/workload/speed_model.h"
#include "workload/planner_test.h"

namespace clementineloom::workload {
namespace {

/// Fixture with workers on which tasks of several kinds run side by side.
class InterferenceTest : public testing::Test {
 protected:
  static constexpr std::uint32_t kSeed = 5;
  static constexpr int kWorkers = 40;

  // Runs a step of a kind with 10 tasks on workers drawn at random. Each worker has, or has not, a
  // neighbour of another kind that leaves a part of the tasks' speed.
  void RunStep(const std::string& kind, const std::string& neighbour, double left) {
    std::normal_distribution<double> size(0, 0.05);
    const StepId step{"job" + std::to_string(++steps_), 0, 0};
    for (int n = 0; n < 10; ++n) {
      const int worker = static_cast<int>(random_() % kWorkers);
      const bool is_beside = random_() % 2 == 0;
      const double speed = SpeedOf(worker) * (is_beside ? left : 1) * std::exp(size(random_));
      std::vector<std::string> neighbours;
      if (is_beside) {
        neighbours.push_back(neighbour);
      }
      model_.Add({std::to_string(worker), step, kind, neighbours, true, 20,
                  Milliseconds(std::llround(1'000 / speed))},
                 now_);
    }
    now_ += Milliseconds(200);
  }
  [[nodiscard]] double SpeedOf(int worker) const { return worker < slow_workers_ ? 0.5 : 1; }

  std::mt19937 random_{kSeed};
  SpeedModel model_;
  SteadyTime now_ = SteadyTime() + Milliseconds(1'000'000);
  int steps_ = 0;
  int slow_workers_ = 0;
};

// Guards against a neighbour that takes half of the speed and is not found within ten seconds.
TEST_F(InterferenceTest, Neighbour_ThatLeavesHalf_IsFoundWithinTenSeconds) {
  for (int n = 0; n < 50; ++n) {
    RunStep("solver", "backup", 0.5);
  }
  ASSERT_EQ(model_.interference().size(), 1U);
  EXPECT_EQ(model_.interference().begin()->first, (KindPair{"solver", "backup"}));
  EXPECT_NEAR(model_.interference().begin()->second, 0.5, 0.1);
}

// Guards against neighbours that are kept apart without a reason.
TEST_F(InterferenceTest, Neighbour_ThatLeavesAll_IsNotFound) {
  for (int n = 0; n < 200; ++n) {
    RunStep("solver", "backup", 1);
  }
  EXPECT_TRUE(model_.interference().empty());
}

// Guards against a slow worker that is taken for a bad neighbour.
TEST_F(InterferenceTest, SlowWorkers_WithHarmlessNeighbours_AreToldApart) {
  slow_workers_ = kWorkers / 4;
  for (int n = 0; n < 200; ++n) {
    RunStep("solver", "backup", 1);
  }
  EXPECT_TRUE(model_.interference().empty());
  EXPECT_TRUE(model_.speeds().contains("0"));
}

// Guards against a bad neighbour that is taken for a slow worker.
TEST_F(InterferenceTest, Neighbour_OnWorkersOfUnlikeSpeed_IsFound) {
  slow_workers_ = kWorkers / 4;
  for (int n = 0; n < 100; ++n) {
    RunStep("solver", "backup", 0.5);
  }
  EXPECT_TRUE(model_.interference().contains({"solver", "backup"}));
  const auto it = model_.speeds().find(std::to_string(kWorkers - 1));
  EXPECT_TRUE(it == model_.speeds().end() || it->second > 1);
}

// Guards against a pair that is kept apart for ever.
TEST_F(InterferenceTest, Neighbour_ThatDisturbsNoMore_IsForgotten) {
  for (int n = 0; n < 100; ++n) {
    RunStep("solver", "backup", 0.5);
  }
  ASSERT_FALSE(model_.interference().empty());
  for (int n = 0; n < 300; ++n) {
    RunStep("solver", "backup", 1);
  }
  EXPECT_TRUE(model_.interference().empty());
}

/// Fixture with two workers, and jobs whose tasks slow each other.
class InterferencePlanTest : public PlannerTest {
 protected:
  void SetUp() override {
    AddWorker("w1", "r1");
    AddWorker("w2", "r1");
  }
  void SubmitImage(const std::string& id, const std::string& image, std::uint32_t tasks) {
    StepSpec step = Step(tasks, 1);
    step.image = image;
    Submit(id, step);
  }
  StartPlan PlanApart() {
    PlanRequest request{jobs_, workers_, evacuated_, advice_, claims_, now_, 100'000, teams_};
    request.interference = &interference_;
    return PlanStarts(request);
  }

  Interference interference_{{{"solver", "backup"}, 0.5}};
};

// Guards against tasks beside a neighbour that is known to slow them, while another worker is free.
TEST_F(InterferencePlanTest, Task_BesideADisturbingNeighbour_StartsOnAnotherWorker) {
  SubmitImage("a", "backup", 1);
  ApplyStarts(PlanApart());
  SubmitImage("b", "solver", 2);
  const StartPlan plan = PlanApart();
  ASSERT_EQ(plan.starts.size(), 2U);
  EXPECT_EQ(plan.starts[0].worker, "w2");
  EXPECT_EQ(plan.starts[1].worker, "w2");
}

// Guards against the same where the disturbing task comes later, and within one plan.
TEST_F(InterferencePlanTest, Tasks_OfOnePlanThatDisturb_StartApart) {
  SubmitImage("a", "solver", 1);
  SubmitImage("b", "backup", 1);
  const StartPlan plan = PlanApart();
  ASSERT_EQ(plan.starts.size(), 2U);
  EXPECT_NE(plan.starts[0].worker, plan.starts[1].worker);
}

// Guards against tasks that wait for better neighbours.
TEST_F(InterferencePlanTest, Task_WithoutOtherRoom_StartsBesideADisturbingNeighbour) {
  SubmitImage("a", "backup", 2);
  workers_.erase("w2");
  ApplyStarts(PlanApart());
  SubmitImage("b", "solver", 1);
  EXPECT_EQ(PlanApart().starts.size(), 1U);
}

// Guards against other placements where no kinds are known to disturb.
TEST_F(InterferencePlanTest, Tasks_WithoutKnownInterference_ArePlacedAsWithoutTheModel) {
  interference_.clear();
  SubmitImage("a", "solver", 3);
  SubmitImage("b", "backup", 3);
  EXPECT_EQ(PlanApart(), Plan());
}

}  // namespace
}  // namespace clementineloom::workload
