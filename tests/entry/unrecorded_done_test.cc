#include <gtest/gtest.h>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::SimWorld;
using standin::StandInCluster;
using standin::StandInWorker;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kTask = "00000000000000a1.0.0.0";
constexpr const char* kOneTask = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":2}])";
constexpr const char* kOtherTask = "00000000000000a1.0.0.1";
constexpr const char* kTwoTasks = R"([{"count":2,"cpu":1000,"memMb":10,"gpus":2}])";
constexpr Milliseconds kRunTime{1'000};
constexpr int kOk = 200;

// Ends of runs whose start the owner has not recorded.
class UnrecordedDoneTest : public ClusterTest {
 protected:
  // Submits a job, and lets a worker execute its first task, of which no start is recorded.
  void ExecuteUnrecorded(StandInWorker& worker, const char* steps) {
    cluster_.store.Put("keyed.op", "evacuate/kolka", "{}");
    cluster_.RunFor(Milliseconds(300));
    EXPECT_EQ(cluster_.Submit(0, kJob, steps)->status, kOk);
    worker.Restart();
    const SimWorld::Server* server = cluster_.world.Find(worker.address());
    ASSERT_NE(server, nullptr);
    (*server)({"POST", "/run-start",
               net::HttpHeaders().With("X-Clementineloom-Target-Instance", worker.id()),
               R"({"task":"00000000000000a1.0.0.0","runId":1,"spec":"x","deadlineMs":5000,)"
               R"("fencingToken":1})"},
              [](const net::HttpResponse&) {});
    cluster_.RunFor(Milliseconds(1'200));
    ASSERT_EQ(cluster_.RunningCount(), 0U);
  }

  StandInCluster cluster_{1, 2, kRunTime};
};

// Guards against a task that runs again after it is done, because the record of its start was lost.
TEST_F(UnrecordedDoneTest, Done_OfAWaitingTask_CompletesIt) {
  ExecuteUnrecorded(*cluster_.workers[0], kOneTask);
  cluster_.Register(*cluster_.workers[0], "draining", 10'000);
  cluster_.RunFor(Milliseconds(500));
  cluster_.store.Put("keyed.op", "evacuate/kolka", "");
  EXPECT_TRUE(cluster_.RunUntilState(kJob, "completed", Milliseconds(5'000)));
  EXPECT_EQ(cluster_.StartsOf(kTask), 1);
}

// Guards against a run that goes on although another run of its task is known to be done.
TEST_F(UnrecordedDoneTest, Done_WhileTheTaskRunsElsewhere_StopsTheOtherRun) {
  cluster_.Unregister(*cluster_.workers[0]);
  ExecuteUnrecorded(*cluster_.workers[0], kOneTask);
  cluster_.store.Put("keyed.op", "evacuate/kolka", "");
  cluster_.RunFor(Milliseconds(500));
  ASSERT_EQ(cluster_.WorkersRunning(kTask).size(), 1U);
  cluster_.Register(*cluster_.workers[0]);
  cluster_.RunFor(Milliseconds(450));
  EXPECT_EQ(cluster_.RunningCount(), 0U);
  EXPECT_TRUE(cluster_.RunUntilState(kJob, "completed", Milliseconds(500)));
}

// Guards against the same where the job has other tasks, so that it does not end.
TEST_F(UnrecordedDoneTest, Done_OfOneOfTwoTasks_StopsOnlyTheOtherRunOfThatTask) {
  cluster_.Unregister(*cluster_.workers[0]);
  ExecuteUnrecorded(*cluster_.workers[0], kTwoTasks);
  cluster_.store.Put("keyed.op", "evacuate/kolka", "");
  cluster_.RunFor(Milliseconds(500));
  ASSERT_EQ(cluster_.WorkersRunning(kTask).size(), 1U);
  ASSERT_EQ(cluster_.WorkersRunning(kOtherTask).size(), 1U);
  cluster_.Register(*cluster_.workers[0]);
  cluster_.RunFor(Milliseconds(450));
  EXPECT_TRUE(cluster_.WorkersRunning(kTask).empty());
  EXPECT_EQ(cluster_.WorkersRunning(kOtherTask).size(), 1U);
  EXPECT_TRUE(cluster_.RunUntilState(kJob, "completed", Milliseconds(2'000)));
  EXPECT_EQ(cluster_.StartsOf(kOtherTask), 1);
}

}  // namespace
}  // namespace clementineloom::entry
