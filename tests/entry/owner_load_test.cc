#include <gtest/gtest.h>

#include <string>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kJobPath = "/urgent/00000000000000a1";
constexpr const char* kTask = "00000000000000a1.0.0.0";
constexpr const char* kOneTask = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":1}])";
constexpr const char* kTopic = "keyed.loom";
constexpr const char* kOwnerProducer = "owner";
constexpr const char* kOtherRecord = "c/00000000000000c0";
constexpr Milliseconds kRunTime{200};
// A second less than the time for which the owner keeps an ended job.
constexpr Milliseconds kBeforeRetentionEnds{149'000};
constexpr int kOk = 200;
constexpr int kGone = 410;

class OwnerLoadTest : public ClusterTest {};

// Guards against a job that ran again: the owner had dropped it, and loaded it again without its
// end before the records that drop it were stored.
TEST_F(OwnerLoadTest, Job_DroppedByTheOwnerButNotInTheStore_IsNotStartedAgain) {
  StandInCluster cluster(1, 1, kRunTime);
  ASSERT_EQ(cluster.Submit(0, kJob, kOneTask)->status, kOk);
  ASSERT_TRUE(cluster.RunUntilState(kJob, "completed", Milliseconds(2'000)));
  cluster.RunFor(kBeforeRetentionEnds);
  cluster.store.HoldAppendsOf(kOwnerProducer, 1'000);
  for (int n = 0; n < 40 && cluster.Ask(0, "GET", kJobPath)->status != kGone; ++n) {
    cluster.RunFor(Milliseconds(50));
  }
  ASSERT_EQ(cluster.Ask(0, "GET", kJobPath)->status, kGone);
  ASSERT_EQ(cluster.OwnerCount(), 1);
  // The owner pauses after reading the first record; the second expires meanwhile.
  cluster.store.Put(kTopic, kOtherRecord, "true");
  cluster.RunFor(Milliseconds(3));
  cluster.store.Put(kTopic, kOtherRecord, "true");
  cluster.store.Compact(kTopic);
  cluster.RunFor(Milliseconds(100));
  // Delays the reading of the records that drop the job behind many others.
  cluster.store.CutBatches(1);
  for (int n = 0; n < 300; ++n) {
    cluster.store.Put(kTopic, kOtherRecord, "true");
  }
  cluster.store.HoldAppendsOf(kOwnerProducer, 0);
  cluster.RunFor(Milliseconds(8'000));
  EXPECT_EQ(cluster.OwnerCount(), 1);
  EXPECT_EQ(cluster.StartsOf(kTask), 1);
  EXPECT_EQ(cluster.RunningCount(), 0U);
}

}  // namespace
}  // namespace clementineloom::entry
