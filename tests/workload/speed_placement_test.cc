#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "workload/planner_test.h"

namespace clementineloom::workload {
namespace {

/// Fixture with racks of a slow, two usual and a fast worker each.
class SpeedPlacementTest : public PlannerTest {
 protected:
  static constexpr std::int64_t kNowMs = 100'000;

  void SetUp() override {
    for (const std::string rack : {"r1", "r2"}) {
      AddWorker(rack + "-slow", rack);
      AddWorker(rack + "-usual1", rack);
      AddWorker(rack + "-usual2", rack);
      AddWorker(rack + "-zfast", rack);
      speeds_[rack + "-slow"] = 0.6;
      speeds_[rack + "-zfast"] = 1.6;
    }
  }
  // Submits a gang whose objective is 1.6 times its estimated work.
  void SubmitUrgentGang(const std::string& id, std::uint32_t tasks, std::int64_t accepted_at_ms) {
    StepSpec step = Step(tasks, 8);
    step.is_gang = true;
    step.estimate_ms = 2'000;
    SubmitUrgentWithObjective(id, step, 1.6, accepted_at_ms);
  }
  StartPlan PlanWithSpeeds(std::int64_t unix_now_ms = kNowMs) {
    PlanRequest request{jobs_, workers_, evacuated_, advice_, claims_, now_, unix_now_ms, teams_};
    request.speeds = &speeds_;
    return PlanStarts(request);
  }
  static auto CountOn(const StartPlan& plan, const std::string& kind) {
    return std::count_if(plan.starts.begin(), plan.starts.end(), [&](const PlannedStart& it) {
      return it.worker.find(kind) != std::string::npos;
    });
  }

  WorkerSpeeds speeds_;
};

// Guards against an urgent gang that ends late because one member is on a slow worker.
TEST_F(SpeedPlacementTest, UrgentGang_BesideASlowWorker_StartsOnOthers) {
  SubmitUrgentGang("urgent", 6, kNowMs);
  const StartPlan plan = PlanWithSpeeds();
  EXPECT_EQ(plan.starts.size(), 6U);
  EXPECT_EQ(CountOn(plan, "slow"), 0);
}

// Guards against work with much slack on the workers that urgent work needs.
TEST_F(SpeedPlacementTest, OtherWork_WithSlack_TakesSlowWorkersFirst) {
  Submit("bulk", Step(4, 4), 1);
  const StartPlan plan = PlanWithSpeeds();
  EXPECT_EQ(CountOn(plan, "slow"), 4);
}

// Guards against other work that waits for a slow worker beside idle fast ones.
TEST_F(SpeedPlacementTest, OtherWork_BeyondTheSlowWorkers_TakesFastOnesToo) {
  Submit("bulk", Step(8, 8), 1);
  EXPECT_EQ(PlanWithSpeeds().starts.size(), 8U);
}

// Guards against an urgent gang that waits for fast workers until it is late.
TEST_F(SpeedPlacementTest, UrgentGang_WithoutFastRoom_WaitsForSevenHundredMsOnly) {
  SubmitUrgentGang("urgent", 7, kNowMs);
  EXPECT_TRUE(PlanWithSpeeds(kNowMs + 600).starts.empty());
  EXPECT_EQ(PlanWithSpeeds(kNowMs + 700).starts.size(), 7U);
}

// Guards against slow room that is cleared for an urgent gang, which then ends late.
TEST_F(SpeedPlacementTest, UrgentGang_OnAFullFleet_StopsRunsOnFastEnoughWorkers) {
  Submit("bulk", Step(8, 8), 2);
  ApplyStarts(PlanWithSpeeds());
  SubmitUrgentGang("urgent", 2, kNowMs);
  const StartPlan plan = PlanWithSpeeds();
  ASSERT_EQ(plan.preemptions.size(), 2U);
  for (const Preemption& it : plan.preemptions) {
    EXPECT_EQ(it.worker.find("slow"), std::string::npos) << it.worker;
  }
}

// Guards against room that is kept for urgent work where it would end late.
TEST_F(SpeedPlacementTest, Reserve_BesideSlowWorkers_IsOnOthers) {
  Submit("bulk", Step(8, 8), 1);
  PlanRequest request{jobs_, workers_, evacuated_, advice_, claims_, now_, kNowMs, teams_};
  request.speeds = &speeds_;
  request.urgent_reserve = {{"inspect", 16}};
  const StartPlan plan = PlanStarts(request);
  EXPECT_EQ(plan.starts.size(), 6U);
  EXPECT_EQ(CountOn(plan, "slow"), 2);
}

// Guards against other placements where no worker is known to differ.
TEST_F(SpeedPlacementTest, Fleet_WithoutKnownSpeeds_IsUsedAsWithoutTheModel) {
  speeds_.clear();
  SubmitUrgentGang("urgent", 3, kNowMs);
  Submit("bulk", Step(6, 3), 1);
  EXPECT_EQ(PlanWithSpeeds(), Plan(kNowMs));
}

}  // namespace
}  // namespace clementineloom::workload
