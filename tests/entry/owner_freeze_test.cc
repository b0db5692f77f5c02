#include <gtest/gtest.h>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kTask = "00000000000000a1.0.0.0";
constexpr const char* kOneTask = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":1}])";
constexpr int kOk = 200;
constexpr Milliseconds kRunTime{500};
constexpr Milliseconds kFreeze{2'400};

/// A single instance, so that no other one takes over its workers while it is frozen.
class OwnerFreezeTest : public ClusterTest {
 protected:
  // Freezes the owner between the append of a start and the answer to it.
  void FreezeWhileRecordingStart() {
    cluster_.store.DelayAppendsOf("owner", Milliseconds(700));
    ASSERT_EQ(cluster_.Submit(0, kJob, kOneTask)->status, kOk);
    cluster_.RunFor(Milliseconds(200));
    ASSERT_EQ(cluster_.StartsOf(kTask), 0);
    cluster_.port(0).Freeze();
  }
  void Thaw() {
    cluster_.RunFor(kFreeze);
    cluster_.port(0).Thaw();
    cluster_.RunFor(Milliseconds(3'000));
  }

  StandInCluster cluster_{1, 1, kRunTime};
};

// Guards against an owner that was suspended while a start was being recorded, and then orders it
// from a stale view: the data centre had been evacuated meanwhile.
TEST_F(OwnerFreezeTest, Owner_FrozenBeforeAnEvacuation_OrdersNoStartThere) {
  FreezeWhileRecordingStart();
  // The read in flight is answered before the evacuation.
  cluster_.RunFor(Milliseconds(1'000));
  cluster_.store.Put("keyed.op", "evacuate/kolka", "{}");
  Thaw();
  EXPECT_EQ(cluster_.StartsOf(kTask), 0);
  cluster_.store.Put("keyed.op", "evacuate/kolka", "");
  EXPECT_TRUE(cluster_.RunUntilState(kJob, "completed", Milliseconds(8'000)));
  EXPECT_EQ(cluster_.StartsOf(kTask), 1);
}

// Guards against a start that is never ordered because the owner was suspended.
TEST_F(OwnerFreezeTest, Owner_FrozenWhileNothingChanges_OrdersTheStart) {
  FreezeWhileRecordingStart();
  Thaw();
  EXPECT_TRUE(cluster_.RunUntilState(kJob, "completed", Milliseconds(8'000)));
  EXPECT_EQ(cluster_.StartsOf(kTask), 1);
}

}  // namespace
}  // namespace clementineloom::entry
