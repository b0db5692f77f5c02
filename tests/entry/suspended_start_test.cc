#include <gtest/gtest.h>

#include <cstddef>
#include <memory>
#include <string>

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

// An owner that is suspended between the record of a start and its order, and wakes after its
// successor took over and the worker restarted.
class SuspendedStartTest : public ClusterTest {
 protected:
  void Begin() {
    cluster_ = std::make_unique<StandInCluster>(3, 2, kRunTime);
    cluster_->Unregister(*cluster_->workers[1]);
    cluster_->RunFor(Milliseconds(1'000));
    owner_ = Owner(*cluster_);
  }
  // Suspends the owner while the record of the start is on its way to the store.
  void SuspendWhileRecordingStart() {
    cluster_->store.DelayAppendsOf("owner", Milliseconds(100));
    ASSERT_EQ(cluster_->Submit(owner_, kJob, kOneTask)->status, kOk);
    cluster_->RunFor(Milliseconds(50));
    ASSERT_EQ(cluster_->StartsOf(kTask), 0);
    cluster_->port(owner_).Freeze();
    cluster_->store.DelayAppendsOf("owner", Milliseconds(0));
    // The suspended owner has a read of the entries in flight, which the first change answers.
    cluster_->Register(*cluster_->workers[1]);
    cluster_->RunFor(Milliseconds(50));
    cluster_->Register(*cluster_->workers[0], "draining", kRunTime.count());
  }

  std::unique_ptr<StandInCluster> cluster_;
  std::size_t owner_ = 0;
};

// Guards against two runs of one task: the former owner ordered the start as soon as it woke, and a
// worker that had restarted since its successor called it carried out the order.
TEST_F(SuspendedStartTest, Owner_WokenAfterItsWorkerRestarted_StartsNothing) {
  for (const int suspended_ms : {1'600, 1'800, 2'000, 2'200, 2'400, 2'600, 2'800, 3'000, 4'000}) {
    SCOPED_TRACE("suspended for " + std::to_string(suspended_ms) + " ms");
    Begin();
    SuspendWhileRecordingStart();
    cluster_->RunFor(Milliseconds(suspended_ms - 10));
    cluster_->workers[0]->Restart();
    cluster_->RunFor(Milliseconds(10));
    cluster_->port(owner_).Thaw();
    cluster_->RunFor(Milliseconds(20'000));
    EXPECT_TRUE(cluster_->tasks_on_two_workers.empty());
    EXPECT_EQ(cluster_->WorkersRunning(kTask).size(), 1U);
  }
}

}  // namespace
}  // namespace clementineloom::entry
