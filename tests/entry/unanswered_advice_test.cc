#include <gtest/gtest.h>

#include <string>

#include "entry/advice_cluster_test.h"

namespace clementineloom::entry {
namespace {

class UnansweredAdviceTest : public AdviceClusterTest {
 protected:
  UnansweredAdviceTest() : AdviceClusterTest(2, 40) {
    PublishQueue(Milliseconds(300), Milliseconds(10));
  }
  static bool IsFirst(const std::string& step) { return step == FirstStep(kFirst); }
};

// Guards against a question without an answer that is repeated for ever before those of the steps
// behind it.
TEST_F(UnansweredAdviceTest, Step_WhoseQuestionHasNoAnswer_HoldsUpNoOther) {
  cluster_.advice.LoseAnswersWhere(IsFirst);
  SubmitAdvised(kFirst);
  SubmitAdvised(kSecond);
  cluster_.RunFor(kMaxStandstill);
  EXPECT_EQ(RunningOf(kSecond, 1), 1U);
  EXPECT_EQ(RunningOf(kFirst, 1), 0U);
}

// Guards against the same where the service refuses the question each time.
TEST_F(UnansweredAdviceTest, Step_WhoseQuestionIsRefused_HoldsUpNoOther) {
  cluster_.advice.RefuseWhere(IsFirst);
  SubmitAdvised(kFirst);
  SubmitAdvised(kSecond);
  cluster_.RunFor(kMaxStandstill);
  EXPECT_EQ(RunningOf(kSecond, 1), 1U);
}

// Guards against a step that stays behind others for good once its question had no answer.
TEST_F(UnansweredAdviceTest, Step_WhoseFirstAnswerIsLost_BeginsInTime) {
  int lost = 0;
  cluster_.advice.LoseAnswersWhere([&lost](const std::string&) { return lost++ == 0; });
  SubmitAdvised(kFirst);
  cluster_.RunFor(kMaxStandstill);
  EXPECT_EQ(RunningOf(kFirst, 1), 1U);
}

// Guards against hundreds of calls a second to a service that refuses them.
TEST_F(UnansweredAdviceTest, Service_ThatRefusesAllCalls_IsCalledAtIntervals) {
  constexpr int kMaxCallsPerSecond = 5;
  cluster_.advice.RefuseWhere([](const std::string&) { return true; });
  SubmitAdvised(kFirst);
  SubmitAdvised(kSecond);
  cluster_.RunFor(Milliseconds(3'000));
  EXPECT_LE(cluster_.advice.CallsAbout(FirstStep(kFirst)) +
                cluster_.advice.CallsAbout(FirstStep(kSecond)),
            3 * kMaxCallsPerSecond);
  cluster_.advice.RefuseWhere([](const std::string&) { return false; });
  cluster_.RunFor(kMaxStandstill);
  EXPECT_EQ(RunningOf(kFirst, 1) + RunningOf(kSecond, 1), 2U);
}

// Guards against steps that go on waiting for calls that were lost while the service was cut off.
TEST_F(UnansweredAdviceTest, Service_CutOffFor25s_StepsBeginInTimeAfterwards) {
  const std::string jobs[] = {kFirst, kSecond, "00000000000000a3", "00000000000000a4"};
  standin::SimPort& port = cluster_.port(Owner(cluster_));
  port.Cut(standin::StandInAdvice::kAddress);
  for (const std::string& it : jobs) {
    SubmitAdvised(it);
  }
  cluster_.RunFor(Milliseconds(25'000));
  port.Heal(standin::StandInAdvice::kAddress);
  cluster_.RunFor(kMaxStandstill);
  for (const std::string& it : jobs) {
    EXPECT_EQ(RunningOf(it, 1), 1U) << it;
  }
}

// Guards against an answer that approves nobody and ends the questions, or holds up other steps.
TEST_F(UnansweredAdviceTest, Step_WithOneApprovedWorker_BeginsThereInTime) {
  cluster_.advice.SetPolicy([](const std::string& step, const std::string& worker) {
    return !IsFirst(step) || worker == "w39";
  });
  SubmitAdvised(kFirst);
  SubmitAdvised(kSecond);
  cluster_.RunFor(kMaxStandstill);
  EXPECT_EQ(cluster_.WorkersRunning(std::string(kFirst) + ".0.0.0"),
            std::vector<std::size_t>({39}));
  EXPECT_EQ(RunningOf(kSecond, 1), 1U);
}

// Guards against repeated questions about a step that no worker may run.
TEST_F(UnansweredAdviceTest, Step_WithoutApprovedWorkers_IsAskedAboutOnceForEachWorker) {
  cluster_.advice.SetPolicy(
      [](const std::string& step, const std::string&) { return !IsFirst(step); });
  SubmitAdvised(kFirst);
  SubmitAdvised(kSecond);
  cluster_.RunFor(Milliseconds(20'000));
  EXPECT_EQ(RunningOf(kSecond, 1), 1U);
  std::size_t asked = 0;
  for (const std::size_t it : cluster_.advice.SizesOfCallsAbout(FirstStep(kFirst))) {
    asked += it;
  }
  EXPECT_EQ(asked, cluster_.workers.size());
}

}  // namespace
}  // namespace clementineloom::entry
