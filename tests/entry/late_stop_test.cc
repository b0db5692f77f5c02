#include <gtest/gtest.h>

#include <string>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::CallFault;
using standin::StandInCluster;
using workload::Milliseconds;

constexpr const char* kUrgentJob = "00000000000000a1";
constexpr const char* kJob = "00000000000000b1";
constexpr const char* kTask = "00000000000000b1.0.0.0";
constexpr const char* kWholeWorker = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":8}])";
constexpr Milliseconds kRunTime{3'000};
constexpr int kOk = 200;

// An order to stop that is carried out once more, after the task has started again.
class LateStopTest : public ClusterTest {
 protected:
  // An urgent task takes the place of a run; the order to stop it arrives twice.
  void PreemptWithLateCopy(Milliseconds stop_delay) {
    CallFault fault;
    fault.repeated_after = stop_delay;
    cluster_.port(0).FaultNextCall("/run-stop", fault);
    ASSERT_EQ(cluster_.Submit(0, kJob, kWholeWorker, "/bulk/")->status, kOk);
    cluster_.RunFor(Milliseconds(500));
    ASSERT_EQ(cluster_.StartsOf(kTask), 1);
    ASSERT_EQ(cluster_.Submit(0, kUrgentJob, kWholeWorker)->status, kOk);
    cluster_.RunFor(Milliseconds(500));
    ASSERT_EQ(cluster_.RunningCount(), 1U);
    ASSERT_TRUE(cluster_.WorkersRunning(kTask).empty());
    // The urgent task ends, and the other one starts again.
    cluster_.RunFor(kRunTime + Milliseconds(500));
    ASSERT_EQ(cluster_.StartsOf(kTask), 2);
  }

  StandInCluster cluster_{1, 1, kRunTime};
};

// Guards against a stop of an earlier run that ends the present one.
TEST_F(LateStopTest, Stop_CarriedOutAfterTheNextStart_StopsNothing) {
  PreemptWithLateCopy(Milliseconds(5'000));
  EXPECT_TRUE(cluster_.RunUntilState(kJob, "completed", Milliseconds(6'000)));
  EXPECT_EQ(cluster_.StartsOf(kTask), 2);
}

// Guards against the same by a new incarnation, which knows neither run.
TEST_F(LateStopTest, Stop_CarriedOutByANewIncarnation_StopsNothing) {
  PreemptWithLateCopy(Milliseconds(10'000));
  cluster_.RunFor(Milliseconds(1'000));
  cluster_.workers[0]->Restart();
  cluster_.Register(*cluster_.workers[0]);
  cluster_.RunFor(Milliseconds(3'000));
  ASSERT_EQ(cluster_.StartsOf(kTask), 3);
  EXPECT_TRUE(cluster_.RunUntilState(kJob, "completed", Milliseconds(6'000)));
  EXPECT_EQ(cluster_.StartsOf(kTask), 3);
}

}  // namespace
}  // namespace clementineloom::entry
