#include <gtest/gtest.h>

#include <string>

#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kTask = "00000000000000a1.0.0.0";
constexpr Milliseconds kRunTime{12'000};

class WorkerDrainTest : public testing::Test {
 protected:
  WorkerDrainTest() {
    for (const auto& it : cluster_.workers) {
      it->SaveCheckpoints();
    }
  }

  // Starts a job of one task, lets it run for a few seconds, and drains its worker.
  void StartTaskAndDrainWorker(const std::string& step, std::int64_t remaining_ms) {
    ASSERT_EQ(cluster_.Submit(0, kJob, step)->status, 200);
    cluster_.RunFor(Milliseconds(4'000));
    const auto running = cluster_.WorkersRunning(kTask);
    ASSERT_EQ(running.size(), 1U);
    draining_ = running[0];
    cluster_.Register(*cluster_.workers[draining_], "draining", remaining_ms);
  }

  StandInCluster cluster_{2, 2, kRunTime};
  std::size_t draining_ = 0;
};

// Guards against tasks that lose their progress or wait for the end of a lease when a worker
// leaves.
TEST_F(WorkerDrainTest, Task_ThatSavesCheckpoints_ResumesElsewhereBeforeTheWorkerLeaves) {
  StartTaskAndDrainWorker(
      R"([{"count":1,"cpu":1000,"gpus":2,"estimateMs":12000,"checkpointing":true}])", 3'000);
  cluster_.RunFor(Milliseconds(1'000));
  EXPECT_EQ(cluster_.WorkersRunning(kTask), std::vector<std::size_t>{draining_});
  cluster_.RunFor(Milliseconds(2'000));
  ASSERT_EQ(cluster_.WorkersRunning(kTask), std::vector<std::size_t>{1 - draining_});
  EXPECT_GE(cluster_.workers[1 - draining_]->running().at(kTask).resumed_percent, 40);
  EXPECT_TRUE(cluster_.RunUntilState(kJob, "completed", Milliseconds(8'000)));
  EXPECT_TRUE(cluster_.tasks_on_two_workers.empty());
}

// Guards against a task left running on a worker that leaves before the task can end.
TEST_F(WorkerDrainTest, Task_WithoutCheckpoints_IsMovedAtOnceIfLittleIsDone) {
  StartTaskAndDrainWorker(R"([{"count":1,"cpu":1000,"gpus":2,"estimateMs":12000}])", 3'000);
  cluster_.RunFor(Milliseconds(1'000));
  EXPECT_EQ(cluster_.WorkersRunning(kTask), std::vector<std::size_t>{1 - draining_});
}

// Guards against stopping a run although its worker stays long enough.
TEST_F(WorkerDrainTest, Task_ThatEndsInTime_IsNotMoved) {
  StartTaskAndDrainWorker(R"([{"count":1,"cpu":1000,"gpus":2,"estimateMs":12000}])", 10'000);
  EXPECT_TRUE(cluster_.RunUntilState(kJob, "completed", Milliseconds(9'500)));
  EXPECT_EQ(cluster_.StartsOf(kTask), 1);
}

}  // namespace
}  // namespace clementineloom::entry
