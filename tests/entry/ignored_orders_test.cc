#include <gtest/gtest.h>

#include <string>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using standin::StandInWorker;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kTask = "00000000000000a1.0.0.0";
constexpr const char* kOtherJob = "00000000000000a2";
constexpr const char* kOtherTask = "00000000000000a2.0.0.0";
constexpr const char* kOneTask = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":2}])";
constexpr Milliseconds kRunTime{120'000};
// Longer than the time until the lease of a worker is let go and has ended.
constexpr Milliseconds kUntilLeaseEnded{20'000};
constexpr int kOk = 200;

// A worker that answers polls but no orders.
class IgnoredOrdersTest : public ClusterTest {
 protected:
  // Makes the first worker the only one that is listed.
  void ListOnlyTheFaultyWorker() {
    cluster_.Unregister(other_);
    cluster_.RunFor(Milliseconds(1'000));
  }

  StandInCluster cluster_{1, 2, kRunTime};
  StandInWorker& faulty_ = *cluster_.workers[0];
  StandInWorker& other_ = *cluster_.workers[1];
};

// Guards against a task that never runs because its start is repeated for ever on a worker that
// answers polls, which keeps its lease alive.
TEST_F(IgnoredOrdersTest, Start_NeverAnswered_RunsElsewhereOnceTheLeaseHasEnded) {
  ListOnlyTheFaultyWorker();
  faulty_.IgnoreOrders(true);
  EXPECT_EQ(cluster_.Submit(0, kJob, kOneTask)->status, kOk);
  cluster_.RunFor(Milliseconds(300));
  cluster_.Register(other_);
  cluster_.RunFor(kUntilLeaseEnded);
  EXPECT_EQ(cluster_.WorkersRunning(kTask).size(), 1U);
  EXPECT_TRUE(other_.running().contains(kTask));
  EXPECT_TRUE(cluster_.tasks_on_two_workers.empty());
}

// Guards against a cancelled task that runs on because its worker ignores the stop while its lease
// is renewed.
TEST_F(IgnoredOrdersTest, Stop_NeverAnswered_EndsTheRunWithItsLease) {
  ListOnlyTheFaultyWorker();
  EXPECT_EQ(cluster_.Submit(0, kJob, kOneTask)->status, kOk);
  cluster_.RunFor(Milliseconds(2'000));
  ASSERT_EQ(cluster_.RunningCount(), 1U);
  faulty_.IgnoreOrders(true);
  EXPECT_EQ(cluster_.Ask(0, "DELETE", std::string("/urgent/") + kJob)->status, kOk);
  cluster_.RunFor(kUntilLeaseEnded);
  EXPECT_EQ(cluster_.RunningCount(), 0U);
}

// Guards against new runs on a worker that answers no orders, and against leaving it out for good
// once it answers again.
TEST_F(IgnoredOrdersTest, Worker_ThatAnswersOrdersAgain_GetsNewRunsOnlyThen) {
  ListOnlyTheFaultyWorker();
  faulty_.IgnoreOrders(true);
  EXPECT_EQ(cluster_.Submit(0, kJob, kOneTask)->status, kOk);
  cluster_.RunFor(Milliseconds(300));
  cluster_.Register(other_);
  cluster_.RunFor(kUntilLeaseEnded);
  cluster_.Unregister(other_);
  cluster_.RunFor(Milliseconds(1'000));
  EXPECT_EQ(cluster_.Submit(0, kOtherJob, kOneTask)->status, kOk);
  cluster_.RunFor(Milliseconds(10'000));
  EXPECT_NE(cluster_.Ask(0, "GET", std::string("/urgent/") + kOtherJob)->body.find("pending"),
            std::string::npos);
  faulty_.IgnoreOrders(false);
  cluster_.RunFor(Milliseconds(8'000));
  EXPECT_TRUE(faulty_.running().contains(kOtherTask));
  EXPECT_TRUE(cluster_.tasks_on_two_workers.empty());
}

// Guards against letting go of a worker that leaves some orders without an answer but answers
// others.
TEST_F(IgnoredOrdersTest, Worker_ThatIgnoresOrdersBriefly_KeepsItsRuns) {
  EXPECT_EQ(cluster_.Submit(0, kJob, kOneTask)->status, kOk);
  cluster_.RunFor(Milliseconds(2'000));
  for (int n = 0; n < 4; ++n) {
    const std::string job = "00000000000000b" + std::to_string(n);
    EXPECT_EQ(cluster_.Submit(0, job, kOneTask)->status, kOk);
    cluster_.RunFor(Milliseconds(500));
    faulty_.IgnoreOrders(true);
    other_.IgnoreOrders(true);
    EXPECT_EQ(cluster_.Ask(0, "DELETE", "/urgent/" + job)->status, kOk);
    cluster_.RunFor(Milliseconds(3'000));
    faulty_.IgnoreOrders(false);
    other_.IgnoreOrders(false);
    cluster_.RunFor(Milliseconds(3'000));
  }
  EXPECT_EQ(cluster_.StartsOf(kTask), 1);
  EXPECT_EQ(cluster_.WorkersRunning(kTask).size(), 1U);
}

}  // namespace
}  // namespace clementineloom::entry
