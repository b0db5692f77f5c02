#include <gtest/gtest.h>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

constexpr const char* kFirstJob = "00000000000000a1";
constexpr const char* kNextJob = "00000000000000a2";
constexpr const char* kNextTask = "00000000000000a2.0.0.0";
constexpr const char* kWholeWorker = R"([{"count":1,"cpu":8000,"memMb":10,"gpus":8}])";
constexpr Milliseconds kRunTime{5'000};
// Longest pause between two attempts to read the store.
constexpr Milliseconds kMaxReadRetryDelay{800};
// For the calls to the store and the worker, and the plan.
constexpr Milliseconds kStartTime{100};
constexpr int kOk = 200;

class StoreReturnTest : public ClusterTest {
 protected:
  // Time from the return of a store that was away to the start of a job that waited meanwhile.
  static Milliseconds TimeToStartAfterOutage(Milliseconds outage) {
    StandInCluster cluster(3, 1, kRunTime);
    EXPECT_EQ(cluster.Submit(0, kFirstJob, kWholeWorker)->status, kOk);
    EXPECT_EQ(cluster.Submit(0, kNextJob, kWholeWorker)->status, kOk);
    cluster.RunFor(Milliseconds(1'000));
    cluster.store.Refuse(true);
    cluster.RunFor(outage);
    cluster.store.Refuse(false);
    Milliseconds waited{0};
    for (; cluster.StartsOf(kNextTask) == 0 && waited < Milliseconds(10'000); ++waited) {
      cluster.RunFor(Milliseconds(1));
    }
    return waited;
  }
};

// Guards against a view that counts as stale after the store has answered again: the first read
// after an outage waited for a new record, and nothing started meanwhile.
TEST_F(StoreReturnTest, Start_AfterAnOutage_IsOrderedOnceTheReadIsRetried) {
  for (Milliseconds outage{8'000}; outage < Milliseconds(8'800); outage += Milliseconds(100)) {
    EXPECT_LE(TimeToStartAfterOutage(outage), kMaxReadRetryDelay + kStartTime) << outage.count();
  }
}

}  // namespace
}  // namespace clementineloom::entry
