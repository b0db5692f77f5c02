#include <gtest/gtest.h>

#include <cstddef>

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

// An owner that cannot learn that it has been replaced.
class OwnerContactTest : public ClusterTest {};

// Guards against two runs of one task: an owner mistook an answer of the store that had waited
// while it was frozen for a recent one, and renewed leases for longer than its successor waited.
TEST_F(OwnerContactTest,
       Owner_FrozenThenCutOffWithItsWorker_StopsRenewingBeforeItsSuccessorStartsTheTask) {
  StandInCluster cluster(2, 3, kRunTime);
  const std::size_t owner = Owner(cluster);
  const std::size_t other = 1 - owner;
  ASSERT_EQ(cluster.Submit(owner, kJob, kOneTask)->status, kOk);
  cluster.RunFor(Milliseconds(2'000));
  const auto running = cluster.WorkersRunning(kTask);
  ASSERT_EQ(running.size(), 1U);
  cluster.store.DelayAppendsOf("owner", Milliseconds(400));
  cluster.RunFor(Milliseconds(1'000));

  cluster.port(owner).Freeze();
  for (std::size_t it = 0; it < cluster.workers.size(); ++it) {
    const bool is_near_owner = it == running[0];
    cluster.port(is_near_owner ? other : owner).Cut(cluster.workers[it]->address());
  }
  cluster.RunFor(Milliseconds(4'000));
  cluster.port(owner).Cut(standin::StandInStore::kAddress);
  cluster.port(owner).Thaw();
  cluster.RunFor(Milliseconds(20'000));
  EXPECT_TRUE(cluster.tasks_on_two_workers.empty());
  EXPECT_EQ(cluster.StartsOf(kTask), 2);
}

}  // namespace
}  // namespace clementineloom::entry
