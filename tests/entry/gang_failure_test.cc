#include <gtest/gtest.h>

#include <string>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kFirst = "00000000000000a1.0.0.0";
constexpr const char* kSecond = "00000000000000a1.0.0.1";
// A gang whose members fit on one worker, and one of which each member takes a whole worker.
constexpr const char* kSmallGang = R"([{"count":2,"cpu":1000,"memMb":10,"gpus":2,"gang":true}])";
constexpr const char* kWideGang = R"([{"count":2,"cpu":8000,"memMb":10,"gpus":8,"gang":true}])";
constexpr Milliseconds kRunTime{1'000};
constexpr Milliseconds kUntilSettled{20'000};
constexpr int kOk = 200;
// Of the queues of the stand-in.
constexpr int kMaxAttempts = 2;

// A gang of which several members fail in the same run.
class GangFailureTest : public ClusterTest {
 protected:
  void Submit(StandInCluster& cluster, const char* gang) {
    ASSERT_EQ(cluster.Submit(Owner(cluster), kJob, gang)->status, kOk);
  }
  static void FailAll(StandInCluster& cluster, const std::string& how) {
    for (const auto& it : cluster.workers) {
      it->FailAll(how);
    }
  }
  // Every run fails: the job has to fail, and not before the gang has run as often as allowed.
  static void ExpectFailureAfterAllAttempts(StandInCluster& cluster) {
    EXPECT_TRUE(cluster.RunUntilState(kJob, "failed", kUntilSettled));
    EXPECT_EQ(cluster.StartsOf(kFirst), kMaxAttempts);
    EXPECT_EQ(cluster.StartsOf(kSecond), kMaxAttempts);
  }
};

// Guards against a job that fails after one run of its gang: the members failed together and were
// listed in one answer, and each end counted as an attempt.
TEST_F(GangFailureTest, Members_FailedTogetherOnOneWorker_CountAsOneAttempt) {
  StandInCluster cluster(2, 1, kRunTime);
  FailAll(cluster, "failed");
  Submit(cluster, kSmallGang);
  cluster.RunFor(kRunTime + Milliseconds(200));
  ASSERT_EQ(cluster.RunningCount(), 0U);
  FailAll(cluster, "");
  EXPECT_TRUE(cluster.RunUntilState(kJob, "completed", kUntilSettled));
  EXPECT_EQ(cluster.StartsOf(kFirst), 2);
}

// Guards against the same on two workers, both of which list their ends before a member is stopped.
TEST_F(GangFailureTest, Members_FailedTogetherOnTwoWorkers_CountAsOneAttempt) {
  StandInCluster cluster(2, 2, kRunTime);
  FailAll(cluster, "failed");
  Submit(cluster, kWideGang);
  ExpectFailureAfterAllAttempts(cluster);
}

// Guards against the same where a change of owner lies between the ends of the members.
TEST_F(GangFailureTest, Members_FailedUnderTwoOwners_CountAsOneAttempt) {
  StandInCluster cluster(3, 2, kRunTime);
  FailAll(cluster, "failed");
  const std::size_t owner = Owner(cluster);
  Submit(cluster, kWideGang);
  cluster.RunFor(kRunTime / 2);
  cluster.port(owner).Cut(cluster.workers[1]->address());
  cluster.RunFor(kRunTime);
  cluster.Kill(owner);
  ExpectFailureAfterAllAttempts(cluster);
}

// Guards against failures that are forgotten because another member fails in the next run: the job
// would be tried for ever.
TEST_F(GangFailureTest, Members_FailedInTurn_FailTheJobAfterAllAttempts) {
  StandInCluster cluster(2, 2, kRunTime);
  cluster.workers[0]->FailAll("failed");
  cluster.workers[1]->FailAll("broken");
  Submit(cluster, kWideGang);
  cluster.RunFor(kRunTime + Milliseconds(200));
  ASSERT_EQ(cluster.RunningCount(), 0U);
  cluster.workers[0]->FailAll("broken");
  cluster.workers[1]->FailAll("failed");
  ExpectFailureAfterAllAttempts(cluster);
}

}  // namespace
}  // namespace clementineloom::entry
