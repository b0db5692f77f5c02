#include <gtest/gtest.h>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

constexpr const char* kEndingJob = "00000000000000a2";
constexpr const char* kEndingTask = "00000000000000a2.0.0.0";
constexpr const char* kJob = "00000000000000a1";
constexpr const char* kTask = "00000000000000a1.0.0.0";
constexpr const char* kOneTask = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":2}])";
constexpr Milliseconds kRunTime{12'000};
constexpr int kOk = 200;

// Two runs on one worker, one of which ends while the store is unavailable.
class WorkerRenewalTest : public ClusterTest {
 protected:
  void EndOneRunDuringStoreOutage() {
    ASSERT_EQ(cluster_.Submit(0, kEndingJob, kOneTask)->status, kOk);
    cluster_.RunFor(Milliseconds(7'000));
    ASSERT_EQ(cluster_.Submit(0, kJob, kOneTask)->status, kOk);
    cluster_.RunFor(Milliseconds(4'000));
    cluster_.store.Refuse(true);
    cluster_.RunFor(Milliseconds(1'500));
    ASSERT_TRUE(cluster_.WorkersRunning(kEndingTask).empty());
  }

  StandInCluster cluster_{3, 1, kRunTime};
};

// Guards against an end of lease renewals: after a renewal had no answer while an end was being
// recorded, none followed, and the other runs of the worker lapsed and were started again.
TEST_F(WorkerRenewalTest, Renewal_LostWhileAnEndIsBeingRecorded_IsRepeated) {
  EndOneRunDuringStoreOutage();
  const std::size_t owner = Owner(cluster_);
  cluster_.port(owner).LoseAnswersOf("/hold");
  cluster_.RunFor(Milliseconds(1'200));
  cluster_.port(owner).Heal({});
  cluster_.RunFor(Milliseconds(7'000));
  cluster_.store.Refuse(false);
  EXPECT_TRUE(cluster_.RunUntilState(kJob, "completed", Milliseconds(8'000)));
  EXPECT_EQ(cluster_.StartsOf(kTask), 1);
  EXPECT_EQ(cluster_.StartsOf(kEndingTask), 1);
}

}  // namespace
}  // namespace clementineloom::entry
