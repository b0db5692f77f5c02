#include <gtest/gtest.h>

#include <string>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using standin::StandInStore;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kTask = "00000000000000a1.0.0.0";
constexpr const char* kOneTask = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":1}])";
constexpr const char* kOwnerProducer = "owner";
constexpr int kOk = 200;
constexpr Milliseconds kRunTime{500};
// Long enough for a start that was not cancelled to be repeated.
constexpr Milliseconds kRetryPeriod{3'000};

/// Two instances and one worker. Time passes between the plan of a start and its (repeated) order.
class StartRecheckTest : public ClusterTest {
 protected:
  StartRecheckTest() : owner_(Owner(cluster_)) {}

  // The order does not reach the worker and gets no answer, so that it is repeated.
  void LoseStartOrder() {
    cluster_.port(owner_).Cut(cluster_.workers[0]->address());
    ASSERT_EQ(cluster_.Submit(owner_, kJob, kOneTask)->status, kOk);
    cluster_.RunFor(Milliseconds(1'000));
  }
  // Repeated orders arrive again once the worker has answered a poll.
  void HealConnection() {
    cluster_.port(owner_).Heal(cluster_.workers[0]->address());
    cluster_.RunFor(kRetryPeriod);
  }
  // The start is planned now, and its record is stored later.
  void PlanStartWithDelayedRecord() {
    cluster_.store.DelayAppendsOf(kOwnerProducer, Milliseconds(700));
    ASSERT_EQ(cluster_.Submit(owner_, kJob, kOneTask)->status, kOk);
    cluster_.RunFor(Milliseconds(200));
  }
  void Evacuate() {
    cluster_.store.Put("keyed.op", "evacuate/kolka", "{}");
    cluster_.RunFor(Milliseconds(300));
  }
  void EndEvacuation() { cluster_.store.Put("keyed.op", "evacuate/kolka", ""); }
  void Drain() {
    cluster_.Register(*cluster_.workers[0], "draining", 10'000);
    cluster_.RunFor(Milliseconds(600));
  }

  StandInCluster cluster_{2, 1, kRunTime};
  const std::size_t owner_;
};

// Guards against repeating a start in a data centre that has been evacuated meanwhile.
TEST_F(StartRecheckTest, LostStart_DataCentreEvacuatedMeanwhile_IsNotRepeated) {
  LoseStartOrder();
  Evacuate();
  HealConnection();
  EXPECT_EQ(cluster_.StartsOf(kTask), 0);
  EndEvacuation();
  EXPECT_TRUE(cluster_.RunUntilState(kJob, "completed", Milliseconds(5'000)));
  EXPECT_EQ(cluster_.StartsOf(kTask), 1);
}

// Guards against repeating a start on a worker that has begun to drain.
TEST_F(StartRecheckTest, LostStart_WorkerDrainsMeanwhile_IsNotRepeated) {
  LoseStartOrder();
  Drain();
  HealConnection();
  EXPECT_EQ(cluster_.StartsOf(kTask), 0);
}

// Guards against repeating a start on a worker whose entry has been removed.
TEST_F(StartRecheckTest, LostStart_WorkerUnlistedMeanwhile_IsNotRepeated) {
  LoseStartOrder();
  cluster_.Unregister(*cluster_.workers[0]);
  cluster_.RunFor(Milliseconds(600));
  HealConnection();
  EXPECT_EQ(cluster_.StartsOf(kTask), 0);
}

// Guards against ordering a recorded start although the data centre was evacuated while the start
// was being recorded.
TEST_F(StartRecheckTest, StartBeingRecorded_DataCentreEvacuatedMeanwhile_IsNotOrdered) {
  PlanStartWithDelayedRecord();
  Evacuate();
  cluster_.RunFor(kRetryPeriod);
  EXPECT_EQ(cluster_.StartsOf(kTask), 0);
  EndEvacuation();
  EXPECT_TRUE(cluster_.RunUntilState(kJob, "completed", Milliseconds(8'000)));
  EXPECT_EQ(cluster_.StartsOf(kTask), 1);
}

// Guards against ordering a recorded start on a worker that began to drain meanwhile.
TEST_F(StartRecheckTest, StartBeingRecorded_WorkerDrainsMeanwhile_IsNotOrdered) {
  PlanStartWithDelayedRecord();
  Drain();
  cluster_.RunFor(kRetryPeriod);
  EXPECT_EQ(cluster_.StartsOf(kTask), 0);
}

// Guards against giving up a start although its worker still takes new runs.
TEST_F(StartRecheckTest, LostStart_OnAWorkerThatTakesRuns_IsRepeated) {
  LoseStartOrder();
  HealConnection();
  EXPECT_EQ(cluster_.StartsOf(kTask), 1);
  EXPECT_TRUE(cluster_.RunUntilState(kJob, "completed", Milliseconds(3'000)));
}

// Guards against starts in an evacuated data centre by an owner whose appends succeed but whose
// reads of the operator topic get no answers.
TEST_F(StartRecheckTest, Submit_WhileOperatorItemsAreNotRead_DoesNotStart) {
  cluster_.port(owner_).LoseAnswersOf("/log-read?topic=keyed.op");
  Evacuate();
  cluster_.RunFor(Milliseconds(5'000));
  ASSERT_EQ(cluster_.Submit(owner_, kJob, kOneTask)->status, kOk);
  cluster_.RunFor(kRetryPeriod);
  EXPECT_EQ(cluster_.OwnerIndex(), owner_);
  EXPECT_EQ(cluster_.StartsOf(kTask), 0);
  cluster_.port(owner_).Heal(StandInStore::kAddress);
  EndEvacuation();
  EXPECT_TRUE(cluster_.RunUntilState(kJob, "completed", Milliseconds(5'000)));
}

// Guards against starts on a worker that drains, by an owner whose reads of the workers' entries
// get no answers.
TEST_F(StartRecheckTest, Submit_WhileWorkerEntriesAreNotRead_DoesNotStart) {
  cluster_.port(owner_).LoseAnswersOf("/log-read?topic=keyed.servers");
  Drain();
  cluster_.RunFor(Milliseconds(5'000));
  ASSERT_EQ(cluster_.Submit(owner_, kJob, kOneTask)->status, kOk);
  cluster_.RunFor(kRetryPeriod);
  EXPECT_EQ(cluster_.OwnerIndex(), owner_);
  EXPECT_EQ(cluster_.StartsOf(kTask), 0);
}

// Guards against an owner that starts nothing for good after such reads had no answers.
TEST_F(StartRecheckTest, Submit_OnceWorkerEntriesAreReadAgain_Starts) {
  cluster_.port(owner_).LoseAnswersOf("/log-read?topic=keyed.servers");
  cluster_.RunFor(Milliseconds(5'000));
  ASSERT_EQ(cluster_.Submit(owner_, kJob, kOneTask)->status, kOk);
  cluster_.port(owner_).Heal(StandInStore::kAddress);
  EXPECT_TRUE(cluster_.RunUntilState(kJob, "completed", Milliseconds(5'000)));
}

}  // namespace
}  // namespace clementineloom::entry
