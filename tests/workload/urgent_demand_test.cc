#include "clementineloom/workload/urgent_demand.h"

#include <gtest/gtest.h>

namespace clementineloom::workload {
namespace {

class UrgentDemandTest : public testing::Test {
 protected:
  static SteadyTime At(std::int64_t ms) { return SteadyTime() + Milliseconds(1'000'000 + ms); }

  UrgentDemand demand_;
};

// Guards against room that is given away between two bursts.
TEST_F(UrgentDemandTest, Forecast_AfterABurst_KeepsItsPeakForSeconds) {
  demand_.Note(At(0), 8);
  demand_.Note(At(100), 64);
  demand_.Note(At(200), 16);
  demand_.Note(At(3'000), 8);
  EXPECT_EQ(demand_.Forecast(At(5'000)), 64);
}

// Guards against room that stays idle long after urgent work has ended.
TEST_F(UrgentDemandTest, Forecast_LongAfterABurst_FollowsTheLaterDemand) {
  demand_.Note(At(0), 64);
  demand_.Note(At(6'000), 8);
  EXPECT_EQ(demand_.Forecast(At(12'000)), 8);
  EXPECT_EQ(demand_.Forecast(At(30'000)), 0);
}

}  // namespace
}  // namespace clementineloom::workload
