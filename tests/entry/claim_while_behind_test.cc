#include <gtest/gtest.h>

#include <string>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

// Instances whose reads take seconds to reach the end of the topic.
class ClaimWhileBehindTest : public ClusterTest {
 protected:
  static constexpr const char* kTopic = "keyed.loom";
  static constexpr const char* kOwnerProducer = "owner";

  // Adds records that nobody needs, and lets each read return one of them.
  void FallBehind() {
    constexpr int kRecords = 3'000;
    cluster_.store.CutBatches(1);
    for (int n = 0; n < kRecords; ++n) {
      cluster_.store.Put(kTopic, "c/00000000000000c0", "true");
    }
  }

  StandInCluster cluster_{3, 1, Milliseconds(500)};
};

// Guards against an instance that deposes a new owner whose claim it has not read yet.
TEST_F(ClaimWhileBehindTest, Instances_ThatHaveNotReadTheEndOfTheTopic_ClaimNothing) {
  cluster_.Kill(Owner(cluster_));
  FallBehind();
  const int claims = cluster_.store.AppendsOf(kOwnerProducer);
  cluster_.RunFor(Milliseconds(4'000));
  EXPECT_EQ(cluster_.store.AppendsOf(kOwnerProducer), claims);
}

// Guards against a system without an owner after its instances have caught up.
TEST_F(ClaimWhileBehindTest, Instances_OnceTheyHaveCaughtUp_ElectAnOwner) {
  cluster_.Kill(Owner(cluster_));
  FallBehind();
  cluster_.RunFor(Milliseconds(12'000));
  EXPECT_EQ(cluster_.OwnerCount(), 1);
}

}  // namespace
}  // namespace clementineloom::entry
