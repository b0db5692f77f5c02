#include <gtest/gtest.h>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kFourTasks = R"([{"count":4,"cpu":1000,"memMb":10,"gpus":2}])";
constexpr Milliseconds kRunTime{1'000};
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

}  // namespace
}  // namespace clementineloom::entry
