#include <gtest/gtest.h>

#include <string>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

class GuaranteeTest : public ClusterTest {
 protected:
  static constexpr Milliseconds kRunTime{12'000};
  // Time within which work within a guarantee must start, on the fleet with the tightest bound.
  static constexpr Milliseconds kReclaimBound{2'700};
};

// Guards against an urgent job within its team's guarantee waiting for urgent work by which another
// team exceeds its own guarantee.
TEST_F(GuaranteeTest, Submit_WithinTheGuaranteeWhereAnotherTeamExceedsIts_BeginsInTime) {
  StandInCluster cluster(2, 1, kRunTime);
  cluster.UseKey("other-key");
  EXPECT_EQ(cluster.Submit(0, "00000000000000b1", R"([{"count":8,"cpu":100,"memMb":10,"gpus":1}])")
                ->status,
            200);
  cluster.RunFor(Milliseconds(1'000));
  ASSERT_EQ(cluster.RunningCount(), 8U);
  cluster.UseKey("key");
  EXPECT_EQ(cluster.Submit(0, "00000000000000a1", R"([{"count":1,"cpu":100,"memMb":10,"gpus":2}])")
                ->status,
            200);
  cluster.RunFor(kReclaimBound);
  EXPECT_EQ(cluster.WorkersRunning("00000000000000a1.0.0.0").size(), 1U);
  EXPECT_EQ(cluster.RunningCount(), 7U);
}

}  // namespace
}  // namespace clementineloom::entry
