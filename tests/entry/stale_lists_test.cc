#include <gtest/gtest.h>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kFourTasks = R"([{"count":4,"cpu":1000,"memMb":10,"gpus":2}])";
constexpr const char* kOtherJob = "00000000000000a2";
constexpr const char* kOneTask = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":2}])";
// Each takes more than half of a worker.
constexpr const char* kTwoLargeTasks = R"([{"count":2,"cpu":1000,"memMb":10,"gpus":5}])";
constexpr Milliseconds kRunTime{1'000};
constexpr Milliseconds kLongRunTime{60'000};
constexpr int kOk = 200;

// A worker's lists that wait while the owner is frozen, so that they are old when it reads them.
class StaleListsTest : public ClusterTest {};

// Guards against an acknowledgement that reaches a new incarnation of the worker: lists that had
// waited in a frozen owner were taken for recent ones.
TEST_F(StaleListsTest, Lists_ReadAfterAFreeze_AcknowledgeNothingToARestartedWorker) {
  StandInCluster cluster(1, 1, kRunTime);
  EXPECT_EQ(cluster.Submit(0, kJob, kFourTasks)->status, kOk);
  cluster.RunFor(Milliseconds(900));
  cluster.port(0).Freeze();
  cluster.RunFor(Milliseconds(300));
  ASSERT_EQ(cluster.RunningCount(), 0U);
  cluster.workers[0]->Restart();
  cluster.RunFor(Milliseconds(2'000));
  cluster.port(0).Thaw();
  cluster.RunFor(Milliseconds(2'000));
  EXPECT_EQ(cluster.workers[0]->unlisted_acknowledgements(), 0);
  EXPECT_TRUE(cluster.RunUntilState(kJob, "completed", Milliseconds(1'000)));
}

// Guards against two runs of one task: an owner that had been frozen took lists that had waited
// meanwhile for a contact with most workers, and renewed leases for longer than its successor
// waited.
TEST_F(StaleListsTest, Lists_ReadAfterAFreeze_AreNoContactWithTheirWorkers) {
  // The freeze has to begin shortly before the workers answer, so that all moments of the period of
  // the polls are tried.
  constexpr Milliseconds kPollPeriod{1'300};
  for (Milliseconds offset{0}; offset < kPollPeriod; offset += Milliseconds(50)) {
    SCOPED_TRACE(offset.count());
    StandInCluster cluster(2, 3, kLongRunTime);
    const std::size_t owner = Owner(cluster);
    const std::size_t other = 1 - owner;
    cluster.Unregister(*cluster.workers[1]);
    cluster.Unregister(*cluster.workers[2]);
    cluster.RunFor(Milliseconds(1'000));
    ASSERT_EQ(cluster.Submit(owner, kJob, kOneTask)->status, kOk);
    cluster.RunFor(Milliseconds(300));
    cluster.Unregister(*cluster.workers[0]);
    cluster.Register(*cluster.workers[1]);
    cluster.Register(*cluster.workers[2]);
    cluster.RunFor(Milliseconds(1'000));
    ASSERT_EQ(cluster.Submit(owner, kOtherJob, kTwoLargeTasks)->status, kOk);
    // Both tasks are placed before the first worker has room for one.
    cluster.RunFor(Milliseconds(100));
    cluster.Register(*cluster.workers[0]);
    cluster.RunFor(Milliseconds(2'500) + offset);
    ASSERT_EQ(cluster.workers[0]->running().size(), 1U);
    ASSERT_EQ(cluster.workers[1]->running().size(), 1U);

    cluster.port(owner).Freeze();
    cluster.RunFor(Milliseconds(200));
    cluster.port(other).Cut(cluster.workers[0]->address());
    cluster.port(owner).Cut(cluster.workers[1]->address());
    cluster.port(owner).Cut(cluster.workers[2]->address());
    cluster.RunFor(Milliseconds(4'000));
    cluster.port(owner).Cut(standin::StandInStore::kAddress);
    cluster.port(owner).Thaw();
    cluster.RunFor(Milliseconds(15'000));
    EXPECT_TRUE(cluster.tasks_on_two_workers.empty());
  }
}

}  // namespace
}  // namespace clementineloom::entry
