#include <gtest/gtest.h>

#include <string>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using standin::StandInStore;
using standin::StandInWorker;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kTask = "00000000000000a1.0.0.0";
constexpr const char* kOneTask = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":2}])";
constexpr Milliseconds kRunTime{20'000};
constexpr int kOk = 200;
constexpr std::size_t kInstances = 3;
// A lease of 5.5 s on a clock that is 2% slow, and what a worker takes to end its runs.
constexpr Milliseconds kLease{5'900};
// Longest time without an owner after the owner was killed.
constexpr Milliseconds kTakeover{1'900};
// Until the next tick of the owner, its plan and its order.
constexpr Milliseconds kRestart{500};
// Until the owner notices that a worker is silent, and has recorded it.
constexpr Milliseconds kSilenceRecorded{3'000};

// Three instances and two workers, one of which runs a task and falls silent.
class RecordedLeaseEndTest : public ClusterTest {
 protected:
  void SetUp() override {
    ASSERT_EQ(cluster_.Submit(Owner(cluster_), kJob, kOneTask)->status, kOk);
    cluster_.RunFor(Milliseconds(500));
    const auto running = cluster_.WorkersRunning(kTask);
    ASSERT_EQ(running.size(), 1U);
    worker_ = cluster_.workers[running.front()].get();
  }
  // Cuts all instances off from the worker.
  void CutWorker() {
    for (std::size_t n = 0; n < kInstances; ++n) {
      cluster_.port(n).Cut(worker_->address());
    }
  }
  void HealWorker() {
    for (std::size_t n = 0; n < kInstances; ++n) {
      cluster_.port(n).Heal(worker_->address());
    }
  }
  void LoseWorker() {
    CutWorker();
    cluster_.Unregister(*worker_);
  }
  // Kills the owner, waits for the next one and lets it work for a time.
  void ReplaceOwner(Milliseconds work) {
    const std::size_t owner = Owner(cluster_);
    cluster_.Kill(owner);
    cluster_.RunFor(kTakeover);
    cluster_.Restart(owner);
    cluster_.port(owner).Cut(worker_->address());
    cluster_.RunFor(work);
  }
  [[nodiscard]] bool RunsOnce() const {
    return cluster_.StartsOf(kTask) == 1 && cluster_.WorkersRunning(kTask).size() == 1;
  }

  StandInCluster cluster_{static_cast<int>(kInstances), 2, kRunTime};
  StandInWorker* worker_ = nullptr;
};

// Guards against a task of a lost worker that waits anew after a change of owner: the successor
// assumed that its predecessor had extended the lease until it was replaced.
TEST_F(RecordedLeaseEndTest, Task_OfAWorkerThatWasSilentBeforeATakeover_RunsAgainAfterItsLease) {
  LoseWorker();
  cluster_.RunFor(kSilenceRecorded);
  ReplaceOwner(kLease - kSilenceRecorded - kTakeover);
  cluster_.RunFor(kRestart);
  EXPECT_EQ(cluster_.StartsOf(kTask), 2);
  EXPECT_TRUE(cluster_.tasks_on_two_workers.empty());
}

// Guards against a task of a lost worker that never runs again while owners are replaced every few
// seconds, each of which waited from its own takeover.
TEST_F(RecordedLeaseEndTest, Task_OfALostWorkerWhileOwnersAreReplaced_DoesNotWaitAnewForEach) {
  LoseWorker();
  // The first successor has to assume that its predecessor goes on for 4.5 s without the store.
  constexpr Milliseconds kEarlierOwner{4'500};
  constexpr Milliseconds kMargin{700};
  const Milliseconds bound = kTakeover + kEarlierOwner + kLease + kMargin + kTakeover + kRestart;
  Milliseconds passed{0};
  while (passed + kTakeover + kSilenceRecorded <= bound) {
    ReplaceOwner(kSilenceRecorded);
    passed += kTakeover + kSilenceRecorded;
  }
  cluster_.RunFor(bound - passed);
  EXPECT_EQ(cluster_.StartsOf(kTask), 2);
  EXPECT_TRUE(cluster_.tasks_on_two_workers.empty());
}

// Guards against a run that ends because the lease of its worker is not extended after the worker
// answers again.
TEST_F(RecordedLeaseEndTest, Task_OfAWorkerThatAnswersInTime_GoesOn) {
  CutWorker();
  cluster_.RunFor(kSilenceRecorded);
  HealWorker();
  cluster_.RunFor(Milliseconds(10'000));
  EXPECT_TRUE(RunsOnce());
  // The successor must not rely on the record that was withdrawn.
  cluster_.Kill(Owner(cluster_));
  cluster_.RunFor(kTakeover);
  EXPECT_TRUE(RunsOnce());
  EXPECT_TRUE(cluster_.RunUntilState(kJob, "completed", kRunTime));
  EXPECT_EQ(cluster_.StartsOf(kTask), 1);
}

// Guards against a task that runs twice: an owner without the store extended the lease of a worker
// that it reached again, while its successor, which did not reach the worker, relied on the record.
TEST_F(RecordedLeaseEndTest, Task_OfAWorkerThatOnlyAnOwnerWithoutTheStoreReaches_DoesNotRunTwice) {
  const std::size_t former = Owner(cluster_);
  CutWorker();
  cluster_.RunFor(kSilenceRecorded);
  cluster_.port(former).Cut(StandInStore::kAddress);
  cluster_.port(former).Heal(worker_->address());
  cluster_.RunFor(Milliseconds(15'000));
  EXPECT_EQ(cluster_.StartsOf(kTask), 2);
  EXPECT_TRUE(cluster_.tasks_on_two_workers.empty());
}

// Guards against a task that waits for the lease of a worker that is gone: its entry had expired,
// so that the successor had no address at which to find another worker.
TEST_F(RecordedLeaseEndTest, Task_OfAWorkerWhoseAddressAnotherOneHas_RunsAgainAtOnce) {
  // The first successor has to assume that its predecessor goes on without the store.
  CutWorker();
  ReplaceOwner(kSilenceRecorded);
  cluster_.Unregister(*worker_);
  ReplaceOwner(Milliseconds(0));
  ASSERT_EQ(cluster_.StartsOf(kTask), 1);
  const StandInWorker replacement(cluster_.world, "replacement", worker_->address(), kRunTime);
  HealWorker();
  // A call that is in flight, the pause after it, and the next call.
  cluster_.RunFor(Milliseconds(1'000) + kRestart);
  EXPECT_EQ(cluster_.StartsOf(kTask), 2);
  EXPECT_TRUE(cluster_.tasks_on_two_workers.empty());
}

}  // namespace
}  // namespace clementineloom::entry
