#include <gtest/gtest.h>

#include <cstdint>
#include <string>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kOtherJob = "00000000000000b1";
constexpr const char* kTask = "00000000000000a1.0.0.0";
constexpr const char* kOneTask = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":2}])";
// One task on each worker.
constexpr const char* kTwoTasks =
    R"([{"count":2,"cpu":1000,"memMb":10,"gpus":1,"antiAffinity":1}])";
constexpr Milliseconds kRunTime{200};
// Longest time for which a job may have nothing running beside idle workers, by the rules.
constexpr Milliseconds kMaxStandstill{3'000};
constexpr int kOk = 200;

// All workers of a service get no new runs for a while.
class WorkerBackoffTest : public ClusterTest {
 protected:
  static void Submit(StandInCluster& cluster, const std::string& job, const char* steps) {
    ASSERT_EQ(cluster.Submit(0, job, steps, "/bulk/")->status, kOk);
  }
};

// Guards against a job that stands still beside idle workers because the runs of several other jobs
// have failed on all of them.
TEST_F(WorkerBackoffTest, Job_AfterRunsOfSeveralJobsFailedOnAllWorkers_BeginsInTime) {
  constexpr std::uint32_t kOneAttempt = 1;
  StandInCluster cluster(1, 2, kRunTime);
  cluster.PublishConfig(2, "key", kOneAttempt);
  cluster.RunFor(Milliseconds(500));
  for (const auto& it : cluster.workers) {
    it->FailAll("failed");
  }
  for (const char* it : {kOtherJob, "00000000000000b2"}) {
    Submit(cluster, it, kTwoTasks);
    ASSERT_TRUE(cluster.RunUntilState(it, "failed", Milliseconds(5'000)));
  }
  Submit(cluster, kJob, kOneTask);
  cluster.RunFor(kMaxStandstill);
  EXPECT_EQ(cluster.StartsOf(kTask), 1);
}

// Guards against the same once workers answer orders again that have left them without an answer
// for long.
TEST_F(WorkerBackoffTest, Job_OnceAllWorkersAnswerOrdersAgain_BeginsInTime) {
  for (int silence_ms = 15'000; silence_ms < 16'000; silence_ms += 100) {
    SCOPED_TRACE(silence_ms);
    StandInCluster cluster(1, 2, kRunTime);
    for (const auto& it : cluster.workers) {
      it->IgnoreOrders(true);
    }
    Submit(cluster, kOtherJob, kTwoTasks);
    cluster.RunFor(Milliseconds(silence_ms));
    for (const auto& it : cluster.workers) {
      it->IgnoreOrders(false);
    }
    Submit(cluster, kJob, kOneTask);
    cluster.RunFor(kMaxStandstill);
    EXPECT_EQ(cluster.StartsOf(kTask), 1);
  }
}

}  // namespace
}  // namespace clementineloom::entry
