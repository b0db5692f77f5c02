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
  demand_.Note(At(0), {8, 1'000 + 0});
  demand_.Note(At(100), {64, 1'000 + 100});
  demand_.Note(At(200), {16, 1'000 + 200});
  demand_.Note(At(3'000), {8, 1'000 + 3'000});
  EXPECT_EQ(demand_.Forecast(At(5'000)), 64);
}

// Guards against room that stays idle long after urgent work has ended.
TEST_F(UrgentDemandTest, Forecast_LongAfterABurst_FollowsTheLaterDemand) {
  demand_.Note(At(0), {64, 1'000 + 0});
  demand_.Note(At(6'000), {8, 1'000 + 6'000});
  demand_.Note(At(10'000), {4, 1'000 + 10'000});
  EXPECT_EQ(demand_.Forecast(At(12'000)), 8);
}

// Guards against other work that waits for room which is kept although urgent work no longer
// arrives: the last urgent jobs still run, or wait where nothing can be stopped for them.
TEST_F(UrgentDemandTest, Forecast_WithoutArrivalsForSeconds_IsNothing) {
  for (std::int64_t ms = 0; ms <= 9'000; ms += 500) {
    demand_.Note(At(ms), {64, 1'000});
    EXPECT_EQ(demand_.Forecast(At(ms)), ms <= 3'000 ? 64 : 0) << ms;
  }
  demand_.Note(At(9'500), {64, 2'000});
  EXPECT_EQ(demand_.Forecast(At(9'500)), 64);
}

}  // namespace
}  // namespace clementineloom::workload
