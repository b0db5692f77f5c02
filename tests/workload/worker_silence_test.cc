#include "clementineloom/workload/worker_silence.h"

#include <gtest/gtest.h>

namespace clementineloom::workload {
namespace {

class WorkerSilenceTest : public testing::Test {
 protected:
  // Checks every 250 ms for a time.
  void CheckFor(Milliseconds span, bool is_asking) {
    constexpr Milliseconds kInterval{250};
    for (Milliseconds n{0}; n < span; n += kInterval) {
      now_ += kInterval;
      silence_.Check(now_, is_asking);
    }
  }

  SteadyTime now_ = SteadyTime() + Milliseconds(1'000);
  WorkerSilence silence_;
};

// Guards against a silence that counts the time before the last answer.
TEST_F(WorkerSilenceTest, Length_AfterAnAnswer_CountsFromTheAnswer) {
  silence_.Check(now_, true);
  CheckFor(Milliseconds(1'000), true);
  EXPECT_EQ(silence_.length(), Milliseconds(1'000));
  EXPECT_FALSE(silence_.has_answered());
  now_ += Milliseconds(100);
  silence_.OnAnswer(now_);
  EXPECT_EQ(silence_.length(), Milliseconds(0));
  EXPECT_TRUE(silence_.has_answered());
  CheckFor(Milliseconds(500), true);
  EXPECT_EQ(silence_.length(), Milliseconds(500));
}

// Guards against counting the time in which idle workers were not asked at all.
TEST_F(WorkerSilenceTest, Length_AfterAnIdleTime_CountsFromTheFirstQuestion) {
  silence_.OnAnswer(now_);
  CheckFor(Milliseconds(60'000), false);
  EXPECT_EQ(silence_.length(), Milliseconds(0));
  CheckFor(Milliseconds(500), true);
  EXPECT_EQ(silence_.length(), Milliseconds(500));
}

// Guards against counting the time in which the process was suspended and read no answer.
TEST_F(WorkerSilenceTest, Length_AfterASuspension_CountsTheLongestGapOnly) {
  silence_.OnAnswer(now_);
  now_ += Milliseconds(10'000);
  silence_.Check(now_, true);
  EXPECT_EQ(silence_.length(), WorkerSilence::kMaxCheckGap);
}

}  // namespace
}  // namespace clementineloom::workload
