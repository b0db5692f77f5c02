#include <gtest/gtest.h>

#include <string>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kOneTask = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":1}])";
constexpr int kOk = 200;
constexpr Milliseconds kRunTime{12'000};
// Long enough for the owner to be replaced, and well within the leases.
constexpr Milliseconds kTakeover{2'000};
constexpr Milliseconds kStopTimeout{1'000};

class JobCancelTest : public ClusterTest {
 protected:
  void StartTask() {
    ASSERT_EQ(cluster_.Submit(0, kJob, kOneTask)->status, kOk);
    cluster_.RunFor(Milliseconds(1'000));
    ASSERT_EQ(cluster_.RunningCount(), 1U);
  }
  // Makes another instance take over the run while the worker has no entry.
  void ReplaceOwnerWhileTheWorkerIsUnlisted() {
    const std::size_t owner = Owner(cluster_);
    survivor_ = owner == 0 ? 1 : 0;
    cluster_.Unregister(*cluster_.workers[0]);
    cluster_.Kill(owner);
    cluster_.RunFor(kTakeover);
    ASSERT_EQ(cluster_.OwnerIndex(), survivor_);
    ASSERT_EQ(cluster_.RunningCount(), 1U);
  }
  void Cancel() {
    ASSERT_EQ(cluster_.Ask(survivor_, "DELETE", std::string("/urgent/") + kJob)->status, kOk);
  }

  StandInCluster cluster_{2, 1, kRunTime};
  std::size_t survivor_ = 0;
};

// Guards against a task of a cancelled job that runs to completion: the new owner did not know the
// address of its worker at the cancellation, treated the stop as sent, and renewed the lease.
TEST_F(JobCancelTest, Cancel_BeforeTheNewOwnerKnowsTheWorker_StopsTheTaskOnceItIsListed) {
  StartTask();
  ReplaceOwnerWhileTheWorkerIsUnlisted();
  Cancel();
  cluster_.Register(*cluster_.workers[0]);
  cluster_.RunFor(2 * kStopTimeout);
  EXPECT_EQ(cluster_.RunningCount(), 0U);
}

// Guards against stopping the task in the same sequence of events without a cancellation.
TEST_F(JobCancelTest, NoCancel_BeforeTheNewOwnerKnowsTheWorker_TaskContinues) {
  StartTask();
  ReplaceOwnerWhileTheWorkerIsUnlisted();
  cluster_.Register(*cluster_.workers[0]);
  EXPECT_TRUE(cluster_.RunUntilState(kJob, "running", Milliseconds(1'000)));
  cluster_.RunFor(Milliseconds(6'000));
  EXPECT_EQ(cluster_.RunningCount(), 1U);
}

}  // namespace
}  // namespace clementineloom::entry
