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
};

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
