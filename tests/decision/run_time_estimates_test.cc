#include "clementineloom/decision/run_time_estimates.h"

#include <gtest/gtest.h>

#include "support/value_or_die.h"

namespace clementineloom {
namespace {

using std::chrono::minutes;

class RunTimeEstimatesTest : public testing::Test {
 protected:
  static JobSpec Spec(Duration declared) {
    const GangShape shape = testing_support::ValueOrDie([] { return GangShape::Create({}); });
    return testing_support::ValueOrDie([&] {
      return JobSpec::Create({"team", "class", shape, JobPriority::kNormal, declared, ""});
    });
  }

  void Observe(Duration run_time, int times) {
    for (int n = 0; n < times; ++n) {
      estimates_.Observe(Spec(minutes(1)), run_time);
    }
  }

  RunTimeEstimates estimates_;
};

// Guards against backfill that trusts a time declared ten times too short.
TEST_F(RunTimeEstimatesTest, Quantile_WithoutObservations_IsTenTimesDeclared) {
  EXPECT_EQ(estimates_.Quantile(Spec(minutes(6)), 0.9), minutes(60));
  EXPECT_EQ(estimates_.Quantile(Spec(Duration::zero()), 0.9), Duration::max());
}

// Guards against a declared run time, too short or too long, that outweighs observations.
TEST_F(RunTimeEstimatesTest, Quantile_WithObservations_IgnoresDeclared) {
  Observe(minutes(10), 5);
  EXPECT_EQ(estimates_.Quantile(Spec(minutes(1)), 0.9), minutes(10));
  EXPECT_EQ(estimates_.Quantile(Spec(minutes(100)), 0.9), minutes(10));
}

// Guards against estimates that do not adapt to a class whose jobs became longer.
TEST_F(RunTimeEstimatesTest, Quantile_AfterChange_FollowsNewerObservations) {
  Observe(minutes(10), 60);
  Observe(minutes(100), 20);
  EXPECT_EQ(estimates_.Quantile(Spec(minutes(1)), 0.5), minutes(100));
}

}  // namespace
}  // namespace clementineloom
