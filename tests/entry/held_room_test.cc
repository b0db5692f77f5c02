#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using standin::StandInWorker;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kFirst = "00000000000000a1.0.0.0";
constexpr const char* kSecond = "00000000000000a1.0.0.1";
// Each member takes a whole worker.
constexpr const char* kGang = R"([{"count":2,"cpu":8000,"memMb":10,"gpus":8,"gang":true}])";
constexpr const char* kOneTask = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":2}])";
constexpr Milliseconds kRunTime{3'000};
constexpr Milliseconds kLongRunTime{30'000};
constexpr int kOk = 200;

// Runs that hold capacity although their worker no longer has them block a whole gang.
class HeldRoomTest : public ClusterTest {
 protected:
  // The worker that runs a task; fails the test if there is none.
  static StandInWorker& WorkerOf(StandInCluster& cluster, const std::string& task) {
    const auto found = cluster.WorkersRunning(task);
    EXPECT_EQ(found.size(), 1U);
    return *cluster.workers[found.empty() ? 0 : found[0]];
  }

  static void SubmitGang(StandInCluster& cluster) {
    EXPECT_EQ(cluster.Submit(Owner(cluster), kJob, kGang)->status, kOk);
    cluster.RunFor(Milliseconds(500));
  }

  // From now on runs succeed, so that the job must complete.
  static void ExpectCompletion(StandInCluster& cluster) {
    for (const auto& it : cluster.workers) {
      it->FailAll("");
    }
    EXPECT_TRUE(cluster.RunUntilState(kJob, "completed", Milliseconds(20'000)));
    EXPECT_TRUE(cluster.tasks_on_two_workers.empty());
  }
};

// Guards against a gang that never runs again: one member had ended as "alone", and the stop of
// another was never sent because the new owner did not know its worker yet.
TEST_F(HeldRoomTest, Gang_StoppedOnAnUnlistedWorkerAfterATakeover_RunsAgainOnceItIsListed) {
  StandInCluster cluster(3, 2, kRunTime);
  SubmitGang(cluster);
  StandInWorker& alone = WorkerOf(cluster, kFirst);
  StandInWorker& unlisted = WorkerOf(cluster, kSecond);
  alone.FailAll("alone");
  unlisted.Restart();
  cluster.Unregister(unlisted);
  cluster.Kill(Owner(cluster));
  cluster.RunFor(Milliseconds(5'000));
  cluster.Register(unlisted);
  ExpectCompletion(cluster);
}

// Guards against a cancelled task that keeps running: its stop was never sent, because the new
// owner did not know the worker yet.
TEST_F(HeldRoomTest, Job_CancelledWhileItsWorkerIsUnlistedAfterATakeover_IsStoppedOnceItIsListed) {
  StandInCluster cluster(3, 2, kLongRunTime);
  EXPECT_EQ(cluster.Submit(Owner(cluster), kJob, kOneTask)->status, kOk);
  cluster.RunFor(Milliseconds(500));
  StandInWorker& unlisted = WorkerOf(cluster, kFirst);
  cluster.Unregister(unlisted);
  cluster.Kill(Owner(cluster));
  cluster.RunFor(Milliseconds(2'500));
  EXPECT_EQ(cluster.Ask(Owner(cluster), "DELETE", std::string("/urgent/") + kJob)->status, kOk);
  cluster.RunFor(Milliseconds(500));
  cluster.Register(unlisted);
  cluster.RunFor(Milliseconds(1'000));
  EXPECT_EQ(cluster.RunningCount(), 0U);
}

// Guards against a gang that waits forever for a member whose worker was cut off before the start.
TEST_F(HeldRoomTest, Gang_WithAMemberCutOffFromItsStart_RunsAgainOnceItIsBack) {
  for (const int healed_after_ms : {1'000, 2'500, 3'500, 5'000, 9'000}) {
    SCOPED_TRACE(healed_after_ms);
    StandInCluster cluster(2, 2, kRunTime);
    standin::SimPort& port = cluster.port(Owner(cluster));
    port.Cut(cluster.workers[1]->address());
    cluster.workers[0]->FailAll("alone");
    EXPECT_EQ(cluster.Submit(Owner(cluster), kJob, kGang)->status, kOk);
    cluster.RunFor(Milliseconds(healed_after_ms));
    port.Heal(cluster.workers[1]->address());
    ExpectCompletion(cluster);
  }
}

// Guards against a gang that waits forever for a member whose worker gets orders but whose answers
// are lost.
TEST_F(HeldRoomTest, Gang_WithAMemberWhoseAnswersAreLost_RunsAgainOnceTheyArrive) {
  for (const int healed_after_ms : {1'000, 2'500, 3'500, 5'000, 9'000}) {
    SCOPED_TRACE(healed_after_ms);
    StandInCluster cluster(2, 2, kRunTime);
    standin::SimPort& port = cluster.port(Owner(cluster));
    port.LoseAnswers(cluster.workers[1]->address());
    cluster.workers[0]->FailAll("alone");
    cluster.workers[1]->FailAll("broken");
    EXPECT_EQ(cluster.Submit(Owner(cluster), kJob, kGang)->status, kOk);
    cluster.RunFor(Milliseconds(healed_after_ms));
    port.Heal(cluster.workers[1]->address());
    ExpectCompletion(cluster);
  }
}

// Guards against a worker on which nothing ever starts: when its lists revealed a restart, the
// clock reported in the same answer was discarded, and a gang was placed there over and over.
TEST_F(HeldRoomTest, Gang_OnAWorkerWhoseListsShowARestart_RunsAgainOnce) {
  StandInCluster cluster(2, 2, kRunTime);
  SubmitGang(cluster);
  WorkerOf(cluster, kSecond).Restart();
  cluster.RunFor(Milliseconds(3'000));
  EXPECT_EQ(cluster.RunningCount(), 2U);
  EXPECT_EQ(cluster.StartsOf(kFirst), 2);
  ExpectCompletion(cluster);
}

// Guards against the same for a single task that no other worker can run.
TEST_F(HeldRoomTest, Task_OnAWorkerWhoseListsShowARestart_RunsAgainOnce) {
  StandInCluster cluster(2, 1, kRunTime);
  EXPECT_EQ(cluster.Submit(Owner(cluster), kJob, kOneTask)->status, kOk);
  cluster.RunFor(Milliseconds(500));
  WorkerOf(cluster, kFirst).Restart();
  cluster.RunFor(Milliseconds(3'000));
  EXPECT_EQ(cluster.RunningCount(), 1U);
  EXPECT_EQ(cluster.StartsOf(kFirst), 2);
  ExpectCompletion(cluster);
}

// Guards against a gang that waits forever for a member on a restarted worker, with and without its
// entry, and with and without a change of owner.
TEST_F(HeldRoomTest, Gang_WithAMemberOnARestartedWorker_RunsAgain) {
  for (const bool is_unlisted : {false, true}) {
    for (const bool is_owner_killed : {false, true}) {
      SCOPED_TRACE(std::to_string(is_unlisted) + " " + std::to_string(is_owner_killed));
      StandInCluster cluster(3, 2, kRunTime);
      SubmitGang(cluster);
      StandInWorker& restarted = WorkerOf(cluster, kSecond);
      WorkerOf(cluster, kFirst).FailAll("alone");
      if (is_unlisted) {
        cluster.Unregister(restarted);
      }
      restarted.Restart();
      if (is_owner_killed) {
        cluster.Kill(Owner(cluster));
      }
      cluster.RunFor(Milliseconds(3'500));
      cluster.Register(restarted);
      ExpectCompletion(cluster);
    }
  }
}

// Guards against a gang that waits forever for a member whose worker was cut off while it ran, with
// and without a change of owner.
TEST_F(HeldRoomTest, Gang_WithAMemberCutOffWhileItRuns_RunsAgainOnceItIsBack) {
  for (const int cut_ms : {1'000, 3'000, 5'000, 9'000}) {
    for (const bool is_owner_killed : {false, true}) {
      SCOPED_TRACE(std::to_string(cut_ms) + " " + std::to_string(is_owner_killed));
      StandInCluster cluster(3, 2, kRunTime);
      SubmitGang(cluster);
      StandInWorker& cut = WorkerOf(cluster, kSecond);
      WorkerOf(cluster, kFirst).FailAll("alone");
      cut.FailAll("broken");
      for (const std::size_t it : {0U, 1U, 2U}) {
        cluster.port(it).Cut(cut.address());
      }
      const std::size_t owner = Owner(cluster);
      if (is_owner_killed) {
        cluster.Kill(owner);
      }
      cluster.RunFor(Milliseconds(cut_ms));
      for (const std::size_t it : {0U, 1U, 2U}) {
        if (!is_owner_killed || it != owner) {
          cluster.port(it).Heal(cut.address());
        }
      }
      ExpectCompletion(cluster);
    }
  }
}

// Guards against tasks that run again although they are done: a worker lists at most 500 ends per
// answer, and runs whose ends were left for the next answer were treated as missing.
TEST_F(HeldRoomTest, Ends_MoreThanAnAnswerHolds_AreAllProcessed) {
  constexpr int kTasks = 600;
  StandInCluster cluster(2, 1, kRunTime);
  standin::SimPort& port = cluster.port(Owner(cluster));
  const std::string steps = R"([{"count":)" + std::to_string(kTasks) + R"(,"cpu":10}])";
  EXPECT_EQ(cluster.Submit(Owner(cluster), kJob, steps)->status, kOk);
  cluster.RunFor(Milliseconds(1'000));
  EXPECT_EQ(cluster.RunningCount(), static_cast<std::size_t>(kTasks));
  port.Cut(cluster.workers[0]->address());
  cluster.RunFor(Milliseconds(3'000));
  port.Heal(cluster.workers[0]->address());
  EXPECT_TRUE(cluster.RunUntilState(kJob, "completed", Milliseconds(8'000)));
  int starts = 0;
  for (int n = 0; n < kTasks; ++n) {
    starts += cluster.StartsOf(std::string(kJob) + ".0.0." + std::to_string(n));
  }
  EXPECT_EQ(starts, kTasks);
}

}  // namespace
}  // namespace clementineloom::entry
