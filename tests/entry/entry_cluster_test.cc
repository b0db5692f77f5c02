#include <gtest/gtest.h>

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
constexpr const char* kFourTasks = R"([{"count":4,"cpu":1000,"memMb":10,"gpus":2}])";
constexpr const char* kWholeWorker = R"([{"count":1,"cpu":8000,"memMb":10,"gpus":8}])";
constexpr Milliseconds kRunTime{1'000};
constexpr Milliseconds kLongRunTime{12'000};
constexpr int kOk = 200;

class EntryClusterTest : public ClusterTest {
 protected:
  static std::size_t Other(std::size_t instance) { return instance == 0 ? 1 : 0; }
};

// Guards against a break anywhere in the whole path: a job is accepted, placed, run and ended, and
// its state is shown by every instance.
TEST_F(EntryClusterTest, Submit_OnQuietCluster_CompletesEverywhere) {
  StandInCluster cluster(3, 2, kRunTime);
  const auto answer = cluster.Submit(0, kJob, kFourTasks);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, kOk);
  EXPECT_TRUE(cluster.RunUntilState(kJob, "completed", Milliseconds(4'000)));
  EXPECT_EQ(cluster.StartsOf(kTask), 1);
}

// Guards against a job that runs twice because its submission was repeated elsewhere.
TEST_F(EntryClusterTest, Submit_RepeatedAtAnotherInstance_RunsOnce) {
  StandInCluster cluster(3, 2, kRunTime);
  EXPECT_EQ(cluster.Submit(0, kJob, kOneTask)->status, kOk);
  EXPECT_EQ(cluster.Submit(1, kJob, kOneTask)->status, kOk);
  EXPECT_TRUE(cluster.RunUntilState(kJob, "completed", Milliseconds(4'000)));
  EXPECT_EQ(cluster.Submit(2, kJob, kOneTask)->status, kOk);
  cluster.RunFor(Milliseconds(2'000));
  EXPECT_EQ(cluster.StartsOf(kTask), 1);
}

// Guards against a refusal although the record was stored.
TEST_F(EntryClusterTest, Submit_WhenStoreLosesAnswers_IsAcceptedOnce) {
  StandInCluster cluster(2, 2, kRunTime);
  const std::size_t front = Other(Owner(cluster));
  cluster.store.LoseAppendAnswers(1);
  const auto answer = cluster.Submit(front, kJob, kOneTask);
  ASSERT_TRUE(answer.has_value());
  EXPECT_TRUE(answer->status == kOk || answer->status == 504) << answer->status;
  EXPECT_TRUE(cluster.RunUntilState(kJob, "completed", Milliseconds(5'000)));
  EXPECT_EQ(cluster.StartsOf(kTask), 1);
}

// Guards against a refused job that starts later.
TEST_F(EntryClusterTest, Submit_WhenStoreRefuses_IsRefusedAndNeverStarts) {
  StandInCluster cluster(2, 2, kRunTime);
  cluster.store.Refuse(true);
  const auto answer = cluster.Submit(Other(Owner(cluster)), kJob, kOneTask);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, 503);
  cluster.store.Refuse(false);
  cluster.RunFor(Milliseconds(6'000));
  EXPECT_EQ(cluster.StartsOf(kTask), 0);
}

// Guards against refusing callers because the instance that they reached has lost the store.
TEST_F(EntryClusterTest, Submit_AtAnInstanceCutOffFromTheStore_IsAcceptedByAPeer) {
  StandInCluster cluster(3, 2, kRunTime);
  const std::size_t front = Other(Owner(cluster));
  cluster.port(front).Cut(standin::StandInStore::kAddress);
  const auto silent = cluster.Submit(front, kJob, kOneTask);
  ASSERT_TRUE(silent.has_value());
  EXPECT_EQ(silent->status, kOk);
  cluster.RunFor(Milliseconds(3'000));
  const auto known_lost = cluster.Submit(front, "00000000000000a2", kOneTask);
  ASSERT_TRUE(known_lost.has_value());
  EXPECT_EQ(known_lost->status, kOk);
  cluster.port(front).Heal(standin::StandInStore::kAddress);
  EXPECT_TRUE(cluster.RunUntilState(kJob, "completed", Milliseconds(6'000)));
  EXPECT_TRUE(cluster.RunUntilState("00000000000000a2", "completed", Milliseconds(6'000)));
  EXPECT_EQ(cluster.StartsOf(kTask), 1);
}

// Guards against an append without records, for which the store does not advance the sequence: the
// owner's next append was refused, and ownership was lost.
TEST_F(EntryClusterTest, Ends_ThatChangeNothing_KeepOwnership) {
  StandInCluster cluster(2, 1, kLongRunTime);
  const std::size_t owner = Owner(cluster);
  EXPECT_EQ(cluster.Submit(owner, kJob, kOneTask)->status, kOk);
  cluster.RunFor(Milliseconds(500));
  EXPECT_EQ(cluster.Ask(owner, "DELETE", std::string("/urgent/") + kJob)->status, kOk);
  cluster.RunFor(Milliseconds(500));
  EXPECT_EQ(cluster.Submit(owner, "00000000000000a2", kOneTask)->status, kOk);
  cluster.RunFor(Milliseconds(5'000));
  EXPECT_EQ(cluster.OwnerIndex(), owner);
}

// Guards against tasks that are lost or run twice when the owner dies while they run.
TEST_F(EntryClusterTest, Owner_KilledWhileTasksRun_IsReplacedAndTasksContinue) {
  StandInCluster cluster(3, 2, kLongRunTime);
  const std::size_t owner = Owner(cluster);
  EXPECT_EQ(cluster.Submit(owner, kJob, kFourTasks)->status, kOk);
  cluster.RunFor(Milliseconds(1'000));
  EXPECT_EQ(cluster.RunningCount(), 4U);
  cluster.Kill(owner);
  EXPECT_TRUE(cluster.RunUntilState(kJob, "completed", Milliseconds(16'000)));
  EXPECT_EQ(cluster.StartsOf(kTask), 1);
  EXPECT_TRUE(cluster.tasks_on_two_workers.empty());
}

// Guards against losing a start that was recorded but not yet ordered when its owner died.
TEST_F(EntryClusterTest, Owner_KilledAfterRecordingAStart_TaskStartsAtTheNextOwner) {
  StandInCluster cluster(3, 1, kRunTime);
  const std::size_t owner = Owner(cluster);
  cluster.port(owner).Cut(cluster.workers[0]->address());
  EXPECT_EQ(cluster.Submit(owner, kJob, kOneTask)->status, kOk);
  cluster.RunFor(Milliseconds(100));
  cluster.Kill(owner);
  EXPECT_TRUE(cluster.RunUntilState(kJob, "completed", Milliseconds(16'000)));
  EXPECT_EQ(cluster.StartsOf(kTask), 1);
}

// Guards against an owner that lost the store and continues beside its successor.
TEST_F(EntryClusterTest, Owner_CutFromTheStore_IsReplacedWithoutDoubleRuns) {
  StandInCluster cluster(3, 3, kLongRunTime);
  const std::size_t owner = Owner(cluster);
  EXPECT_EQ(cluster.Submit(owner, kJob, kFourTasks)->status, kOk);
  cluster.RunFor(Milliseconds(1'000));
  cluster.port(owner).Cut(standin::StandInStore::kAddress);
  cluster.RunFor(Milliseconds(6'000));
  const auto successor = cluster.OwnerIndex();
  ASSERT_TRUE(successor.has_value());
  EXPECT_NE(*successor, owner);
  cluster.RunFor(Milliseconds(8'000));
  EXPECT_EQ(cluster.StartsOf(kTask), 1);
  EXPECT_TRUE(cluster.tasks_on_two_workers.empty());
}

// Guards against leases that end because the store is unavailable to all instances.
TEST_F(EntryClusterTest, Store_UnavailableForNineSeconds_RunsContinue) {
  StandInCluster cluster(3, 2, kLongRunTime);
  EXPECT_EQ(cluster.Submit(0, kJob, kFourTasks)->status, kOk);
  cluster.RunFor(Milliseconds(1'000));
  cluster.store.Refuse(true);
  cluster.RunFor(Milliseconds(9'000));
  cluster.store.Refuse(false);
  EXPECT_TRUE(cluster.RunUntilState(kJob, "completed", Milliseconds(8'000)));
  EXPECT_EQ(cluster.StartsOf(kTask), 1);
}

// Guards against leases that end because another run of the worker ended while the store was
// unavailable: the worker was not polled again before that end was recorded.
TEST_F(EntryClusterTest, Store_UnavailableWhileARunEnds_OtherRunsContinue) {
  StandInCluster cluster(3, 1, kLongRunTime);
  EXPECT_EQ(cluster.Submit(0, "00000000000000a2", kOneTask)->status, kOk);
  cluster.RunFor(Milliseconds(7'000));
  EXPECT_EQ(cluster.Submit(0, kJob, kOneTask)->status, kOk);
  cluster.RunFor(Milliseconds(4'000));
  cluster.store.Refuse(true);
  cluster.RunFor(Milliseconds(9'500));
  cluster.store.Refuse(false);
  EXPECT_TRUE(cluster.RunUntilState(kJob, "completed", Milliseconds(8'000)));
  EXPECT_EQ(cluster.StartsOf(kTask), 1);
  EXPECT_EQ(cluster.StartsOf("00000000000000a2.0.0.0"), 1);
}

// Guards against runs on an unreachable worker that hold capacity forever: each call to it was
// counted as a lease extension.
TEST_F(EntryClusterTest, Worker_CutOff_ItsTaskRunsElsewhereAfterTheLease) {
  StandInCluster cluster(2, 2, kLongRunTime);
  EXPECT_EQ(cluster.Submit(0, kJob, kOneTask)->status, kOk);
  cluster.RunFor(Milliseconds(1'000));
  const auto before = cluster.WorkersRunning(kTask);
  ASSERT_EQ(before.size(), 1U);
  cluster.port(0).Cut(cluster.workers[before[0]]->address());
  cluster.port(1).Cut(cluster.workers[before[0]]->address());
  cluster.RunFor(Milliseconds(9'000));
  const auto after = cluster.WorkersRunning(kTask);
  ASSERT_EQ(after.size(), 1U);
  EXPECT_NE(after[0], before[0]);
  EXPECT_TRUE(cluster.tasks_on_two_workers.empty());
}

// Guards against adopted runs on a worker that is gone, which were held for three times their
// lease.
TEST_F(EntryClusterTest, Owner_KilledAfterAWorkerLeft_TaskRunsElsewhereInTime) {
  StandInCluster cluster(3, 4, kLongRunTime);
  const std::size_t owner = Owner(cluster);
  EXPECT_EQ(cluster.Submit(owner, kJob, kOneTask)->status, kOk);
  cluster.RunFor(Milliseconds(1'000));
  const auto before = cluster.WorkersRunning(kTask);
  ASSERT_EQ(before.size(), 1U);
  standin::StandInWorker& gone = *cluster.workers[before[0]];
  cluster.world.StopServing(gone.address());
  gone.Restart();
  cluster.Unregister(gone);
  cluster.Kill(owner);
  cluster.RunFor(Milliseconds(14'000));
  EXPECT_EQ(cluster.WorkersRunning(kTask).size(), 1U);
}

// Guards against waiting for the lease of runs that ended when their worker restarted.
TEST_F(EntryClusterTest, Worker_RestartedUnderItsId_TaskRunsAgainPromptly) {
  StandInCluster cluster(2, 1, kLongRunTime);
  EXPECT_EQ(cluster.Submit(0, kJob, kOneTask)->status, kOk);
  cluster.RunFor(Milliseconds(1'000));
  cluster.workers[0]->Restart();
  cluster.Register(*cluster.workers[0]);
  cluster.RunFor(Milliseconds(2'500));
  EXPECT_EQ(cluster.StartsOf(kTask), 2);
  EXPECT_EQ(cluster.WorkersRunning(kTask).size(), 1U);
}

// Guards against removing a worker while its answer is being processed: its entry had expired, and
// the restarted worker answered before it registered.
TEST_F(EntryClusterTest, Worker_RestartedWhileUnlisted_TaskRunsAgainOnceItIsListed) {
  StandInCluster cluster(2, 1, kLongRunTime);
  EXPECT_EQ(cluster.Submit(0, kJob, kOneTask)->status, kOk);
  cluster.RunFor(Milliseconds(1'000));
  cluster.Unregister(*cluster.workers[0]);
  cluster.RunFor(Milliseconds(500));
  cluster.workers[0]->Restart();
  cluster.RunFor(Milliseconds(2'000));
  cluster.Register(*cluster.workers[0]);
  cluster.RunFor(Milliseconds(1'500));
  EXPECT_EQ(cluster.StartsOf(kTask), 2);
  EXPECT_EQ(cluster.WorkersRunning(kTask).size(), 1U);
}

// Guards against jobs of priority 0 that wait behind less urgent work.
TEST_F(EntryClusterTest, Submit_UrgentOnAFullWorker_PreemptsBulkWork) {
  StandInCluster cluster(2, 1, kLongRunTime);
  EXPECT_EQ(cluster.Submit(0, "00000000000000b1", kWholeWorker, "/bulk/")->status, kOk);
  cluster.RunFor(Milliseconds(1'000));
  EXPECT_EQ(cluster.RunningCount(), 1U);
  EXPECT_EQ(cluster.Submit(0, kJob, kWholeWorker)->status, kOk);
  cluster.RunFor(Milliseconds(1'000));
  EXPECT_EQ(cluster.WorkersRunning(kTask).size(), 1U);
}

// Guards against starts on a draining worker.
TEST_F(EntryClusterTest, Worker_Draining_GetsNoNewRuns) {
  StandInCluster cluster(2, 2, kRunTime);
  cluster.Register(*cluster.workers[0], "draining");
  cluster.RunFor(Milliseconds(1'000));
  EXPECT_EQ(cluster.Submit(0, kJob, kFourTasks)->status, kOk);
  cluster.RunFor(Milliseconds(500));
  EXPECT_TRUE(cluster.workers[0]->running().empty());
  EXPECT_EQ(cluster.workers[1]->running().size(), 4U);
}

// Guards against starts in an evacuated data centre.
TEST_F(EntryClusterTest, DataCentre_Evacuated_GetsNoStartsUntilItIsBack) {
  StandInCluster cluster(2, 2, kRunTime);
  cluster.store.Put("keyed.op", "evacuate/kolka", "{}");
  cluster.RunFor(Milliseconds(500));
  EXPECT_EQ(cluster.Submit(0, kJob, kOneTask)->status, kOk);
  cluster.RunFor(Milliseconds(1'000));
  EXPECT_EQ(cluster.StartsOf(kTask), 0);
  cluster.store.Put("keyed.op", "evacuate/kolka", "");
  EXPECT_TRUE(cluster.RunUntilState(kJob, "completed", Milliseconds(4'000)));
}

// Guards against a job that is retried without limit or given up too early.
TEST_F(EntryClusterTest, Job_WhoseRunsAllFail_FailsAfterItsAttempts) {
  StandInCluster cluster(2, 2, kRunTime);
  for (const auto& worker : cluster.workers) {
    worker->FailAll("failed");
  }
  EXPECT_EQ(cluster.Submit(0, kJob, kOneTask)->status, kOk);
  EXPECT_TRUE(cluster.RunUntilState(kJob, "failed", Milliseconds(8'000)));
  EXPECT_EQ(cluster.StartsOf(kTask), 2);
}

// Guards against tasks of a cancelled job that continue or start.
TEST_F(EntryClusterTest, Job_CancelledAtAnotherInstance_IsStoppedEverywhere) {
  StandInCluster cluster(3, 2, kLongRunTime);
  EXPECT_EQ(cluster.Submit(0, kJob, kFourTasks)->status, kOk);
  cluster.RunFor(Milliseconds(1'000));
  EXPECT_EQ(cluster.Ask(1, "DELETE", std::string("/urgent/") + kJob)->status, kOk);
  cluster.RunFor(Milliseconds(1'000));
  EXPECT_EQ(cluster.RunningCount(), 0U);
  EXPECT_TRUE(cluster.RunUntilState(kJob, "cancelled", Milliseconds(500)));
}

// Guards against two owners with the same epoch: the store acknowledges the second claim as a
// duplicate of the first, and then each owner's appends as duplicates of the other's.
TEST_F(EntryClusterTest, Claims_OfTheSameEpoch_LeaveOneOwner) {
  StandInCluster cluster(3, 2, kRunTime, true);
  EXPECT_EQ(cluster.OwnerCount(), 1);
  EXPECT_EQ(cluster.Submit(0, kJob, kFourTasks)->status, kOk);
  EXPECT_TRUE(cluster.RunUntilState(kJob, "completed", Milliseconds(6'000)));
  EXPECT_EQ(cluster.StartsOf(kTask), 1);
}

// Guards against the same where instances that do not know each other succeed an owner: they take
// the same turn.
TEST_F(EntryClusterTest, Claims_OfTheSameEpochInTheSameTurn_LeaveOneOwner) {
  constexpr std::size_t kInstances = 3;
  StandInCluster cluster(kInstances, 2, kRunTime, true);
  const std::size_t owner = Owner(cluster);
  for (std::size_t n = 0; n < kInstances; ++n) {
    cluster.Kill(n);
    cluster.store.Put("keyed.loom", "i/" + StandInCluster::InstanceName(n), "");
  }
  cluster.store.RefuseAppendsOf(StandInCluster::InstanceName(0).substr(0, 1), Milliseconds(0));
  for (std::size_t n = 0; n < kInstances; ++n) {
    if (n != owner) {
      cluster.Restart(n);
    }
  }
  cluster.RunFor(Milliseconds(3'000));
  EXPECT_EQ(cluster.OwnerCount(), 1);
  cluster.store.DelayAppendsOf(StandInCluster::InstanceName(0).substr(0, 1), Milliseconds(0));
  cluster.RunFor(Milliseconds(2'000));
  EXPECT_EQ(cluster.OwnerCount(), 1);
  const std::size_t front = Other(owner);
  EXPECT_EQ(cluster.Submit(front, kJob, kFourTasks)->status, kOk);
  cluster.RunFor(Milliseconds(6'000));
  EXPECT_EQ(cluster.StartsOf(kTask), 1);
  EXPECT_TRUE(cluster.tasks_on_two_workers.empty());
}

// Guards against an owner that claims again with unstored changes in memory: ends were acknowledged
// to their worker without being stored, and the tasks ran again under the next owner.
TEST_F(EntryClusterTest, Owner_LostInAnOutageAndElectedAgain_DropsUnstoredChanges) {
  StandInCluster cluster(1, 1, kLongRunTime);
  EXPECT_EQ(cluster.Submit(0, kJob, kOneTask)->status, kOk);
  cluster.RunFor(Milliseconds(1'000));
  cluster.store.RefuseAppends(true);
  for (int n = 0; n < 20'000 && cluster.OwnerIndex(); ++n) {
    cluster.RunFor(Milliseconds(1));
  }
  cluster.store.RefuseAppends(false);
  cluster.RunFor(Milliseconds(2'000));
  cluster.Kill(0);
  cluster.Restart(0);
  EXPECT_TRUE(cluster.RunUntilState(kJob, "completed", Milliseconds(20'000)));
  EXPECT_EQ(cluster.StartsOf(kTask), 1);
}

// Guards against a planned stop that leaves the cluster without an owner for as long as a crash.
TEST_F(EntryClusterTest, Owner_Stopped_IsReplacedWithinASecond) {
  StandInCluster cluster(3, 1, kRunTime);
  const std::size_t owner = Owner(cluster);
  cluster.Stop(owner);
  cluster.RunFor(Milliseconds(1'000));
  const auto successor = cluster.OwnerIndex();
  ASSERT_TRUE(successor.has_value());
  EXPECT_NE(*successor, owner);
}

// Guards against claims that never succeed: with a slow store and continuing submissions, the topic
// had always grown since the claimant's last read.
TEST_F(EntryClusterTest, Owner_KilledWhileTheStoreIsSlow_IsReplacedBeforeLeasesEnd) {
  StandInCluster cluster(4, 2, kLongRunTime);
  const std::size_t owner = Owner(cluster);
  EXPECT_EQ(cluster.Submit(owner, kJob, kFourTasks)->status, kOk);
  cluster.RunFor(Milliseconds(1'000));
  cluster.store.SlowDown(Milliseconds(250));
  cluster.Kill(owner);
  for (int n = 0; n < 40; ++n) {
    cluster.store.Put("keyed.loom", "c/00000000000000c" + std::to_string(n % 10), "true");
    cluster.RunFor(Milliseconds(100));
  }
  EXPECT_TRUE(cluster.OwnerIndex().has_value());
  EXPECT_TRUE(cluster.RunUntilState(kJob, "completed", Milliseconds(16'000)));
  EXPECT_EQ(cluster.StartsOf(kTask), 1);
  EXPECT_TRUE(cluster.tasks_on_two_workers.empty());
}

// Guards against acknowledged jobs that are lost when all instances are killed at once.
TEST_F(EntryClusterTest, AllInstances_KilledAfterAnAcceptance_JobCompletes) {
  StandInCluster cluster(3, 2, kRunTime);
  EXPECT_EQ(cluster.Submit(0, kJob, kFourTasks)->status, kOk);
  for (std::size_t n = 0; n < 3; ++n) {
    cluster.Kill(n);
  }
  cluster.store.Compact("keyed.loom");
  cluster.RunFor(Milliseconds(500));
  for (std::size_t n = 0; n < 3; ++n) {
    cluster.Restart(n);
  }
  EXPECT_TRUE(cluster.RunUntilState(kJob, "completed", Milliseconds(20'000)));
  EXPECT_TRUE(cluster.tasks_on_two_workers.empty());
}

// Guards against a view that stops being updated when its next records have expired.
TEST_F(EntryClusterTest, Store_CompactsUnreadRecords_ViewsRecover) {
  StandInCluster cluster(2, 2, kRunTime);
  EXPECT_EQ(cluster.Submit(0, kJob, kOneTask)->status, kOk);
  cluster.store.Compact("keyed.loom");
  cluster.store.Compact("keyed.op");
  cluster.store.Compact("keyed.servers");
  EXPECT_TRUE(cluster.RunUntilState(kJob, "completed", Milliseconds(5'000)));
  cluster.PublishConfig(2);
  EXPECT_EQ(cluster.Submit(1, "00000000000000a2", kOneTask)->status, kOk);
  EXPECT_TRUE(cluster.RunUntilState("00000000000000a2", "completed", Milliseconds(5'000)));
}

// Guards against wrong statuses for unknown queues, unknown jobs and malformed bodies, and against
// a wrong answer to a read of a queue.
TEST_F(EntryClusterTest, Ask_ForUnknownQueueOrJob_IsRefusedWithItsStatus) {
  StandInCluster cluster(2, 1, kRunTime);
  EXPECT_EQ(cluster.Ask(0, "GET", "/nowhere/x")->status, 404);
  EXPECT_EQ(cluster.Ask(0, "GET", std::string("/urgent/") + kJob)->status, 410);
  EXPECT_EQ(cluster.Submit(0, kJob, "[]")->status, 400);
  EXPECT_EQ(cluster.Ask(0, "GET", "/urgent/")->body, R"({"pendingCount":0})");
}

}  // namespace
}  // namespace clementineloom::entry
