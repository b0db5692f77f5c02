#include <gtest/gtest.h>

#include "entry/advice_cluster_test.h"

namespace clementineloom::entry {
namespace {

class SlowAdviceTest : public AdviceClusterTest {
 protected:
  SlowAdviceTest() : AdviceClusterTest(2, 70) {}
};

// Guards against a question that is given up before the service can answer it, and asked again for
// ever: an answer about 30 workers takes 2.2 s here.
TEST_F(SlowAdviceTest, Job_OfAQueueWithAnswersLaterThan2sFor30Workers_BeginsInTime) {
  PublishQueue(Milliseconds(700), Milliseconds(50));
  SubmitAdvised(kFirst);
  cluster_.RunFor(kMaxStandstill);
  EXPECT_EQ(RunningOf(kFirst, 1), 1U);
  EXPECT_EQ(RefusedTickets(), 0);
}

// Guards against questions that are too small for a gang: the tickets of the first ones expire
// before the last one is answered.
TEST_F(SlowAdviceTest, Gang_ThatNeeds30Workers_BeginsInTime) {
  PublishQueue(Milliseconds(700), Milliseconds(50));
  SubmitAdvised(kFirst, R"([{"count":30,"cpu":100,"memMb":10,"gpus":8,"gang":true}])");
  cluster_.RunFor(kMaxStandstill);
  EXPECT_EQ(RunningOf(kFirst, 30), 30U);
}

// Guards against giving up a question whose answer takes longer than the rule's 3 s for any number
// of workers.
TEST_F(SlowAdviceTest, Job_OfAQueueWithADecisionOf4s_BeginsAfterOneAnswer) {
  PublishQueue(Milliseconds(4'000), Milliseconds(10));
  SubmitAdvised(kFirst);
  cluster_.RunFor(Milliseconds(4'000) + kMaxStandstill);
  EXPECT_EQ(RunningOf(kFirst, 1), 1U);
  EXPECT_EQ(cluster_.advice.CallsAbout(FirstStep(kFirst)), 1);
}

// Guards against a service that is never waited for because it is slower than its queue says: its
// late answers have to count.
TEST_F(SlowAdviceTest, Job_OfAServiceSlowerThanItsQueueSays_Begins) {
  PublishQueue(Milliseconds(100), Milliseconds(5));
  cluster_.advice.SetTimes(Milliseconds(5'000), Milliseconds(5));
  SubmitAdvised(kFirst);
  cluster_.RunFor(Milliseconds(5'000) + kMaxStandstill);
  EXPECT_EQ(RunningOf(kFirst, 1), 1U);
}

// Guards against steps that wait for the answers to large questions of others.
TEST_F(SlowAdviceTest, Jobs_ThreeAtOnce_AllBeginInTime) {
  PublishQueue(Milliseconds(500), Milliseconds(50));
  SubmitAdvised(kFirst);
  SubmitAdvised(kSecond);
  SubmitAdvised("00000000000000a3");
  cluster_.RunFor(kMaxStandstill);
  EXPECT_EQ(RunningOf(kFirst, 1) + RunningOf(kSecond, 1) + RunningOf("00000000000000a3", 1), 3U);
}

}  // namespace
}  // namespace clementineloom::entry
