#include "soak/fault_plan.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>

#include "soak/fault_kind_names.h"
#include "soak/job_bodies.h"

namespace clementineloom::soak {
namespace {

// Guards against seeds that cannot be repeated and kinds of faults that nobody asked for.
class FaultPlanTest : public testing::Test {
 protected:
  static constexpr std::chrono::seconds kLength{120};
};

TEST_F(FaultPlanTest, Plan_OfTheSameSeed_IsTheSame) {
  const auto kinds = FaultKindsNamed("all");
  EXPECT_EQ(FaultPlan::Make(7, kLength, kinds), FaultPlan::Make(7, kLength, kinds));
  EXPECT_NE(FaultPlan::Make(7, kLength, kinds), FaultPlan::Make(8, kLength, kinds));
}

TEST_F(FaultPlanTest, Faults_OfAPlan_AreOfItsKindsAndWithinItsGaps) {
  const auto kinds = FaultKindsNamed("planned");
  ASSERT_EQ(kinds.size(), 5U);
  const FaultPlan plan = FaultPlan::Make(3, kLength, kinds);
  std::int64_t previous_ms = 0;
  for (const PlannedFault& it : plan.faults()) {
    EXPECT_TRUE(kinds.contains(it.kind));
    EXPECT_GE(it.at_ms, previous_ms + 500);
    EXPECT_LE(it.at_ms, previous_ms + 2'500);
    previous_ms = it.at_ms;
  }
  EXPECT_GT(previous_ms, 115'000);
}

TEST_F(FaultPlanTest, Plan_WithLossOfAllPower_HasItOnceBetweenTheOtherFaults) {
  const auto kinds = FaultKindsNamed("all");
  const FaultPlan plan = FaultPlan::Make(3, kLength, kinds);
  EXPECT_EQ(std::ranges::count(plan.faults(), FaultKind::kPowerOffAll, &PlannedFault::kind), 1);
  EXPECT_TRUE(std::ranges::is_sorted(plan.faults(), {}, &PlannedFault::at_ms));
  EXPECT_EQ(FaultPlan::Make(3, kLength, FaultKindsNamed("power")).faults().size(), 1U);
}

TEST_F(FaultPlanTest, Kinds_OfAllGroups_HaveNamesThatStandForThem) {
  for (const FaultKind it : FaultKindsNamed("all")) {
    EXPECT_EQ(FaultKindsNamed(FaultKindName(it)), std::set<FaultKind>{it});
  }
  EXPECT_TRUE(FaultKindsNamed("unknown").empty());
}

// Guards against workers that run other jobs than the callers submit.
class JobBodiesTest : public testing::Test {};

TEST_F(JobBodiesTest, Profile_OfAGangThatFails_FollowsFromItsPayload) {
  const std::string payload = "work 700 gang 3 fails 1 then 300";
  const auto first = JobBodies::ProfileOf("00000000000000aa.0.0.2", payload);
  EXPECT_EQ(first.run_time, workload::Milliseconds(700));
  EXPECT_EQ(first.gang_size, 3U);
  EXPECT_EQ(first.failing_runs, 1U);
  const auto later = JobBodies::ProfileOf("00000000000000aa.0.1.0", payload);
  EXPECT_EQ(later.run_time, workload::Milliseconds(300));
  EXPECT_EQ(later.gang_size, 0U);
  EXPECT_EQ(later.failing_runs, 0U);
}

}  // namespace
}  // namespace clementineloom::soak
