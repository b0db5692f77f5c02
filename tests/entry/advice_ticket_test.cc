#include <gtest/gtest.h>

#include <string>

#include "entry/advice_cluster_test.h"

namespace clementineloom::entry {
namespace {

class AdviceTicketTest : public AdviceClusterTest {
 protected:
  AdviceTicketTest() : AdviceClusterTest(2, 2) {
    PublishQueue(Milliseconds(100), Milliseconds(10));
  }
  // One task that takes all accelerators of a worker.
  static constexpr const char* kWholeWorker = R"([{"count":1,"cpu":100,"memMb":10,"gpus":8}])";
};

// Guards against a worker that counts as not approved for good: under its id, another kind of
// worker may come back.
TEST_F(AdviceTicketTest, Worker_NotApprovedBeforeItsRestart_IsAskedAboutAgain) {
  bool is_approved = false;
  cluster_.advice.SetPolicy(
      [&is_approved](const std::string&, const std::string&) { return is_approved; });
  SubmitAdvised(kFirst);
  cluster_.RunFor(Milliseconds(2'000));
  is_approved = true;
  cluster_.workers[0]->Restart();
  cluster_.Register(*cluster_.workers[0]);
  cluster_.RunFor(kMaxStandstill);
  EXPECT_EQ(RunningOf(kFirst, 1), 1U);
}

// Guards against the ticket of an earlier life of a worker.
TEST_F(AdviceTicketTest, Worker_RestartedAfterItsApproval_IsSentNoOldTicket) {
  cluster_.advice.SetPolicy(
      [](const std::string&, const std::string& worker) { return worker == "w0"; });
  // Takes all room, so that the approval is not used before the restart.
  SubmitAdvised(kFirst, kWholeWorker);
  cluster_.RunFor(Milliseconds(1'000));
  ASSERT_EQ(RunningOf(kFirst, 1), 1U);
  SubmitAdvised(kSecond, R"([{"count":2,"cpu":100,"memMb":10,"gpus":8}])");
  cluster_.workers[0]->Restart();
  cluster_.Register(*cluster_.workers[0]);
  cluster_.RunFor(kMaxStandstill);
  EXPECT_EQ(RefusedTickets(), 0);
  EXPECT_EQ(cluster_.RunningCount(), 1U);
}

// Guards against orders with tickets that have expired while the store took the record of the
// start.
TEST_F(AdviceTicketTest, Start_WhoseTicketExpiresBeforeItIsOrdered_IsNotOrdered) {
  cluster_.advice.SetValidity(Milliseconds(600));
  cluster_.store.DelayAppendsOf("owner", Milliseconds(900));
  SubmitAdvised(kFirst);
  cluster_.RunFor(Milliseconds(4'000));
  EXPECT_EQ(RefusedTickets(), 0);
  cluster_.store.DelayAppendsOf("owner", Milliseconds(0));
  cluster_.RunFor(kMaxStandstill);
  EXPECT_EQ(RunningOf(kFirst, 1), 1U);
  EXPECT_EQ(RefusedTickets(), 0);
}

// Guards against a step that waits for the answer to a question of an owner that is gone.
TEST_F(AdviceTicketTest, Step_WhoseOwnerIsReplacedWithAnOpenQuestion_BeginsUnderItsSuccessor) {
  PublishQueue(Milliseconds(1'000), Milliseconds(10));
  SubmitAdvised(kFirst);
  cluster_.RunFor(Milliseconds(200));
  cluster_.Kill(Owner(cluster_));
  cluster_.RunFor(Milliseconds(15'000));
  EXPECT_EQ(RunningOf(kFirst, 1), 1U);
  EXPECT_EQ(cluster_.tasks_on_two_workers.size(), 0U);
  EXPECT_EQ(RefusedTickets(), 0);
}

}  // namespace
}  // namespace clementineloom::entry
