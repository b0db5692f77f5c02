#include <gtest/gtest.h>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kTask = "00000000000000a1.0.0.0";
constexpr const char* kOneTask = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":2}])";
constexpr Milliseconds kRunTime{60'000};
constexpr int kOk = 200;

// Leases that were computed for the clock of an earlier incarnation of a worker.
class WorkerLeaseTest : public ClusterTest {};

// Guards against two concurrent runs of one task: a worker had restarted unnoticed and held a lease
// computed for its earlier clock, which outlasted the time that the owner waited after losing
// contact.
TEST_F(WorkerLeaseTest,
       Worker_RestartedUnnoticedAndCutOffAfterAStart_TaskRunsNowhereElseMeanwhile) {
  StandInCluster cluster(1, 2, kRunTime);
  cluster.RunFor(Milliseconds(20'000));
  for (const auto& it : cluster.workers) {
    it->Restart();
  }
  ASSERT_EQ(cluster.Submit(0, kJob, kOneTask)->status, kOk);
  cluster.RunFor(Milliseconds(50));
  const auto running = cluster.WorkersRunning(kTask);
  ASSERT_EQ(running.size(), 1U);
  cluster.port(0).Cut(cluster.workers[running[0]]->address());
  cluster.RunFor(Milliseconds(15'000));
  EXPECT_TRUE(cluster.tasks_on_two_workers.empty());
  EXPECT_EQ(cluster.StartsOf(kTask), 2);
}

// Guards against the same if the answer to the start is lost, so that no clock reveals the restart.
TEST_F(WorkerLeaseTest,
       Worker_RestartedUnnoticedAndCutOffBeforeItsAnswer_TaskRunsNowhereElseMeanwhile) {
  StandInCluster cluster(1, 2, kRunTime);
  cluster.RunFor(Milliseconds(20'000));
  for (const auto& it : cluster.workers) {
    it->Restart();
  }
  cluster.port(0).LoseAnswersOf("/run-start");
  ASSERT_EQ(cluster.Submit(0, kJob, kOneTask)->status, kOk);
  cluster.RunFor(Milliseconds(50));
  const auto running = cluster.WorkersRunning(kTask);
  ASSERT_EQ(running.size(), 1U);
  cluster.port(0).Heal({});
  cluster.port(0).Cut(cluster.workers[running[0]]->address());
  cluster.RunFor(Milliseconds(15'000));
  EXPECT_TRUE(cluster.tasks_on_two_workers.empty());
  EXPECT_EQ(cluster.StartsOf(kTask), 2);
}

}  // namespace
}  // namespace clementineloom::entry
