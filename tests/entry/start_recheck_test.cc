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
constexpr const char* kOwnersAppends = "owner";
constexpr int kOk = 200;
constexpr Milliseconds kRunTime{500};
// Within this time a start that was not called off has been repeated.
constexpr Milliseconds kRepeats{3'000};

/// Two instances and one worker. What was planned for it is ordered later.
class StartRecheckTest : public ClusterTest {
 protected:
  StartRecheckTest() : owner_(Owner(cluster_)) {}

  // The order does not arrive and gets no answer, so that it is repeated.
  void OrderAStartThatIsLost() {
    cluster_.port(owner_).Cut(cluster_.workers[0]->address());
    ASSERT_EQ(cluster_.Submit(owner_, kJob, kOneTask)->status, kOk);
    cluster_.RunFor(Milliseconds(1'000));
  }
  // Repeats arrive again, once the worker has been called.
  void HealTheLink() {
    cluster_.port(owner_).Heal(cluster_.workers[0]->address());
    cluster_.RunFor(kRepeats);
  }
  // The start is planned now, and stored some time later.
  void PlanAStartThatIsStoredLate() {
    cluster_.store.DelayAppendsOf(kOwnersAppends, Milliseconds(700));
    ASSERT_EQ(cluster_.Submit(owner_, kJob, kOneTask)->status, kOk);
    cluster_.RunFor(Milliseconds(200));
  }
  void Evacuate() {
    cluster_.store.Put("keyed.op", "evacuate/kolka", "{}");
    cluster_.RunFor(Milliseconds(300));
  }
  void TakeEvacuationBack() { cluster_.store.Put("keyed.op", "evacuate/kolka", ""); }
  void Drain() {
    cluster_.Register(*cluster_.workers[0], "draining", 10'000);
    cluster_.RunFor(Milliseconds(600));
  }

  StandInCluster cluster_{2, 1, kRunTime};
  const std::size_t owner_;
};

// Guards against a start that is repeated in a data centre which was evacuated meanwhile.
TEST_F(StartRecheckTest, LostStart_DataCentreEvacuatedMeanwhile_IsNotRepeated) {
  OrderAStartThatIsLost();
  Evacuate();
  HealTheLink();
  EXPECT_EQ(cluster_.StartsOf(kTask), 0);
  TakeEvacuationBack();
  EXPECT_TRUE(cluster_.RunUntilState(kJob, "completed", Milliseconds(5'000)));
  EXPECT_EQ(cluster_.StartsOf(kTask), 1);
}

// Guards against the same on a worker that leaves.
TEST_F(StartRecheckTest, LostStart_WorkerDrainsMeanwhile_IsNotRepeated) {
  OrderAStartThatIsLost();
  Drain();
  HealTheLink();
  EXPECT_EQ(cluster_.StartsOf(kTask), 0);
}

// Guards against the same on a worker whose entry is gone.
TEST_F(StartRecheckTest, LostStart_WorkerUnlistedMeanwhile_IsNotRepeated) {
  OrderAStartThatIsLost();
  cluster_.Unregister(*cluster_.workers[0]);
  cluster_.RunFor(Milliseconds(600));
  HealTheLink();
  EXPECT_EQ(cluster_.StartsOf(kTask), 0);
}

// Guards against a start that is ordered once the store has confirmed it, though the data centre
// was evacuated while it was being recorded.
TEST_F(StartRecheckTest, StartBeingRecorded_DataCentreEvacuatedMeanwhile_IsNotOrdered) {
  PlanAStartThatIsStoredLate();
  Evacuate();
  cluster_.RunFor(kRepeats);
  EXPECT_EQ(cluster_.StartsOf(kTask), 0);
  TakeEvacuationBack();
  EXPECT_TRUE(cluster_.RunUntilState(kJob, "completed", Milliseconds(8'000)));
  EXPECT_EQ(cluster_.StartsOf(kTask), 1);
}

// Guards against the same on a worker that leaves.
TEST_F(StartRecheckTest, StartBeingRecorded_WorkerDrainsMeanwhile_IsNotOrdered) {
  PlanAStartThatIsStoredLate();
  Drain();
  cluster_.RunFor(kRepeats);
  EXPECT_EQ(cluster_.StartsOf(kTask), 0);
}

// Guards against a start that is given up although nothing speaks against its worker.
TEST_F(StartRecheckTest, LostStart_OnAWorkerThatTakesRuns_IsRepeated) {
  OrderAStartThatIsLost();
  HealTheLink();
  EXPECT_EQ(cluster_.StartsOf(kTask), 1);
  EXPECT_TRUE(cluster_.RunUntilState(kJob, "completed", Milliseconds(3'000)));
}

// Guards against starts in an evacuated data centre by an owner that still writes to the store and
// gets no answers to its reads of what operators write.
TEST_F(StartRecheckTest, Submit_WhereTheOperatorsItemsAreNotRead_DoesNotStart) {
  cluster_.port(owner_).LoseAnswersOf("/log-read?topic=keyed.op");
  Evacuate();
  cluster_.RunFor(Milliseconds(5'000));
  ASSERT_EQ(cluster_.Submit(owner_, kJob, kOneTask)->status, kOk);
  cluster_.RunFor(kRepeats);
  EXPECT_EQ(cluster_.OwnerIndex(), owner_);
  EXPECT_EQ(cluster_.StartsOf(kTask), 0);
  cluster_.port(owner_).Heal(StandInStore::kAddress);
  TakeEvacuationBack();
  EXPECT_TRUE(cluster_.RunUntilState(kJob, "completed", Milliseconds(5'000)));
}

}  // namespace
}  // namespace clementineloom::entry
