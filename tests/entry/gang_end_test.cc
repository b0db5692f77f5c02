#include <gtest/gtest.h>

#include <cstddef>

#include "entry/cluster_test.h"
#include "standin/call_fault.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using standin::StandInWorker;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kFirst = "00000000000000a1.0.0.0";
constexpr const char* kSecond = "00000000000000a1.0.0.1";
constexpr const char* kNextStep = "00000000000000a1.0.1.0";
// A gang of which each member takes a whole worker, and a step that keeps the job open.
constexpr const char* kGangThenTask =
    R"([{"count":2,"cpu":8000,"memMb":10,"gpus":8,"gang":true},)"
    R"({"count":1,"cpu":1000,"memMb":10,"gpus":2,"dependsOn":[0]}])";
constexpr Milliseconds kRunTime{3'000};
constexpr Milliseconds kUntilDone{kRunTime + Milliseconds(200)};
constexpr int kOk = 200;

// A gang that is done before its owner, or the next one, knows that all members have started; a
// worker of it restarts.
class GangEndTest : public ClusterTest {
 protected:
  GangEndTest() {
    cluster_.Unregister(spare_);
    cluster_.RunFor(Milliseconds(500));
    owner_ = Owner(cluster_);
  }

  void SubmitGang() {
    ASSERT_EQ(cluster_.Submit(owner_, kJob, kGangThenTask)->status, kOk);
    cluster_.RunFor(Milliseconds(100));
    ASSERT_EQ(cluster_.StartsOf(kFirst) + cluster_.StartsOf(kSecond), 2);
  }
  // The gang ends while there is no owner, and one of its workers restarts after it.
  void EndWithoutOwner(StandInWorker& restarted) {
    SubmitGang();
    cluster_.RunFor(kRunTime - Milliseconds(200));
    cluster_.Kill(owner_);
    cluster_.RunFor(Milliseconds(200));
    ASSERT_EQ(cluster_.RunningCount(), 0U);
    restarted.Restart();
    cluster_.Register(restarted);
    cluster_.Register(spare_);
  }
  void ExpectOneStartOfEachMember() {
    EXPECT_TRUE(cluster_.RunUntilState(kJob, "completed", Milliseconds(30'000)));
    EXPECT_EQ(cluster_.StartsOf(kFirst), 1);
    EXPECT_EQ(cluster_.StartsOf(kSecond), 1);
  }

  StandInCluster cluster_{3, 3, kRunTime};
  // Takes the second step.
  StandInWorker& spare_ = *cluster_.workers[2];
  std::size_t owner_ = 0;
};

// Guards against a member that starts again after its gang is done: its start had no answer and was
// repeated on the restarted worker.
TEST_F(GangEndTest, Member_WithoutAnswerOnARestartedWorker_IsNotOrderedOnceTheGangIsDone) {
  StandInWorker& cut = *cluster_.workers[1];
  cluster_.port(owner_).LoseAnswers(cut.address());
  SubmitGang();
  cluster_.Register(spare_);
  cluster_.RunFor(kUntilDone);
  ASSERT_EQ(cluster_.WorkersRunning(kNextStep).size(), 1U);
  cut.Restart();
  cluster_.port(owner_).Heal(cut.address());
  ExpectOneStartOfEachMember();
}

// Guards against the same across a change of owner: the successor learned from one worker that the
// gang is done, and repeated the start of the member that the other one no longer has.
TEST_F(GangEndTest, Member_MissingAtATakeover_IsNotOrderedOnceTheGangIsDone) {
  EndWithoutOwner(*cluster_.workers[1]);
  ExpectOneStartOfEachMember();
}

// Guards against the same where the successor hears of the restarted worker first.
TEST_F(GangEndTest, Member_MissingAtATakeover_IsNotOrderedBeforeTheGangIsKnownNotToBeDone) {
  EndWithoutOwner(*cluster_.workers[0]);
  ExpectOneStartOfEachMember();
}

// Guards against the same where the worker that lists the end of the gang answers much later.
TEST_F(GangEndTest, Member_MissingAtATakeover_WaitsForTheWorkersOfTheOtherMembers) {
  EndWithoutOwner(*cluster_.workers[0]);
  cluster_.workers[1]->DelayAnswersOf("/hold", Milliseconds(500));
  ExpectOneStartOfEachMember();
}

// Guards against the same without a change of owner: the answers of both workers were lost while
// the gang ended, and those of the restarted one arrive first.
TEST_F(GangEndTest, Members_WithoutAnswers_AreNotOrderedBeforeTheGangIsKnownNotToBeDone) {
  for (const auto& it : {cluster_.workers[0]->address(), cluster_.workers[1]->address()}) {
    cluster_.port(owner_).LoseAnswers(it);
  }
  SubmitGang();
  cluster_.Register(spare_);
  cluster_.RunFor(kUntilDone);
  cluster_.workers[0]->Restart();
  cluster_.port(owner_).Heal(cluster_.workers[0]->address());
  cluster_.RunFor(Milliseconds(1'500));
  cluster_.port(owner_).Heal(cluster_.workers[1]->address());
  ExpectOneStartOfEachMember();
}

// Guards against a gang that is not completed after a takeover because one member, whose order was
// still on its way, waits although the others are seen to wait for it.
TEST_F(GangEndTest, Member_MissingAtATakeover_IsOrderedWhileTheOtherMemberRuns) {
  standin::CallFault late;
  late.request_delay = Milliseconds(9'000);
  late.loses_answer = true;
  cluster_.port(owner_).FaultNextCall("/run-start", late);
  ASSERT_EQ(cluster_.Submit(owner_, kJob, kGangThenTask)->status, kOk);
  cluster_.RunFor(Milliseconds(100));
  ASSERT_EQ(cluster_.RunningCount(), 1U);
  cluster_.Kill(owner_);
  // Longest time until a change of owner is complete.
  cluster_.RunFor(Milliseconds(2'500));
  EXPECT_EQ(cluster_.RunningCount(), 2U);
}

}  // namespace
}  // namespace clementineloom::entry
