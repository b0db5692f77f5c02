#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
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
constexpr const char* kOneTask =
    R"([{"count":1,"cpu":1000,"memMb":10,"gpus":2,"checkpointing":true}])";
constexpr Milliseconds kRunTime{20'000};
constexpr int kOk = 200;
constexpr std::size_t kInstances = 3;

// A task works for half of its run time on a worker that is then lost, and its owner is killed
// before the lease of the worker ends.
class RecordedCheckpointTest : public ClusterTest {
 protected:
  // From the loss of the worker: the owner has noticed its silence, and no lease has ended.
  static constexpr Milliseconds kOwnerKilledAfter{3'000};
  // The lease, a takeover and a start.
  static constexpr Milliseconds kRunsAgainWithin{9'000};

  void SetUp() override {
    for (const auto& it : cluster_.workers) {
      it->SaveCheckpoints();
    }
    ASSERT_EQ(cluster_.Submit(Owner(cluster_), kJob, kOneTask)->status, kOk);
    cluster_.RunFor(kRunTime / 2);
    const auto running = cluster_.WorkersRunning(kTask);
    ASSERT_EQ(running.size(), 1U);
    lost_ = cluster_.workers[running.front()].get();
  }
  void LoseWorker() {
    for (std::size_t n = 0; n < kInstances; ++n) {
      cluster_.port(n).Cut(lost_->address());
    }
    cluster_.Unregister(*lost_);
  }

  StandInCluster cluster_{static_cast<int>(kInstances), 2, kRunTime};
  StandInWorker* lost_ = nullptr;
};

// Guards against work of half a minute that is thrown away at a change of owner: only the former
// owner knew the checkpoint, and the worker that saved it is gone.
TEST_F(RecordedCheckpointTest, Task_OfAWorkerLostBeforeATakeover_ResumesFromItsCheckpoint) {
  LoseWorker();
  cluster_.RunFor(kOwnerKilledAfter);
  const std::size_t owner = Owner(cluster_);
  cluster_.Kill(owner);
  cluster_.RunFor(kRunsAgainWithin);
  ASSERT_EQ(cluster_.StartsOf(kTask), 2);
  EXPECT_TRUE(cluster_.tasks_on_two_workers.empty());
  // From nothing it would need its whole run time.
  const std::size_t instance = Owner(cluster_);
  cluster_.RunFor(kRunTime * 3 / 5);
  EXPECT_EQ(cluster_.Ask(instance, "GET", std::string("/urgent/") + kJob)->body,
            R"({"state":"completed"})");
}

}  // namespace
}  // namespace clementineloom::entry
