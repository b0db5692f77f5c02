#include "clementineloom/workload/fill_pacer.h"

#include <gtest/gtest.h>

#include <string>

namespace clementineloom::workload {
namespace {

class FillPacerTest : public testing::Test {
 protected:
  // Reports a tail latency and applies the ordered paces. Returns the resulting pace.
  std::uint32_t Report(std::int64_t tail_ms) {
    now_ += Milliseconds(700);
    for (const PaceChange& it : pacer_.OnReport(kWorker, {{tail_ms, kTargetMs}}, {fill_}, now_)) {
      fill_.pace_percent = it.percent;
    }
    return fill_.pace_percent.value_or(0);
  }

  static constexpr const char* kWorker = "w1";
  static constexpr std::int64_t kTargetMs = 100;
  SteadyTime now_ = SteadyTime() + Milliseconds(60'000);
  FillPacer pacer_;
  FillRun fill_{{{{"00000000000000a1", 0, 0}, 0}, 1}, "batch", 100};
};

// Guards against a service task that stays over its target for seconds.
TEST_F(FillPacerTest, Report_OverTheTargetTwice_StopsTheFill) {
  EXPECT_LT(Report(150), 50U);
  EXPECT_EQ(Report(120), 0U);
}

// Guards against a pace that stays low, and processors that stay idle, after the tail latency has
// recovered.
TEST_F(FillPacerTest, Report_WellBelowTheTarget_RaisesThePaceToFull) {
  Report(150);
  Report(120);
  std::uint32_t pace = 0;
  for (int n = 0; n < 40; ++n) {
    pace = Report(20);
  }
  EXPECT_EQ(pace, 100U);
}

// Guards against a pace that oscillates between too high and a pause.
TEST_F(FillPacerTest, Report_ThatFollowsThePace_SettlesBelowTheTarget) {
  std::int64_t tail_ms = 30;
  int over = 0;
  for (int n = 0; n < 60; ++n) {
    tail_ms = 30 + Report(tail_ms) * 2;
    over += n > 5 && tail_ms > kTargetMs ? 1 : 0;
  }
  EXPECT_EQ(over, 0);
  EXPECT_GT(fill_.pace_percent.value_or(0), 5U);
}

// Guards against judging a new pace by a report that covers the time before it.
TEST_F(FillPacerTest, Report_SoonAfterAChange_ChangesNothing) {
  const std::uint32_t pace = Report(150);
  now_ += Milliseconds(200);
  EXPECT_TRUE(pacer_.OnReport(kWorker, {{150, kTargetMs}}, {fill_}, now_).empty());
  EXPECT_EQ(fill_.pace_percent, pace);
}

// Guards against a stop order that was lost, or undone by an older order that was carried out late.
TEST_F(FillPacerTest, Report_OverTheTargetAtAStop_OrdersTheStopAgain) {
  Report(150);
  Report(150);
  now_ += Milliseconds(100);
  EXPECT_EQ(pacer_.OnReport(kWorker, {{150, kTargetMs}}, {fill_}, now_).size(), 1U);
  fill_.pace_percent.reset();
  EXPECT_EQ(pacer_.OnReport(kWorker, {{90, kTargetMs}}, {fill_}, now_).size(), 1U);
}

// Guards against each worker starting an image at full pace that was throttled on another worker.
TEST_F(FillPacerTest, Report_OfAnImageThrottledElsewhere_BeginsAtALowPace) {
  Report(90);
  const auto changes = pacer_.OnReport(
      "w2", {{50, kTargetMs}}, {{{{{"00000000000000a2", 0, 0}, 0}, 1}, "batch", 100}}, now_);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].percent, 50U);
}

// Guards against a fill run that stays throttled after the service task on its worker has gone.
TEST_F(FillPacerTest, Report_WithoutServiceTasks_GivesFullPace) {
  Report(150);
  const auto changes = pacer_.OnReport(kWorker, {}, {fill_}, now_);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].percent, 100U);
}

// Guards against runs that keep a pace which an earlier owner ordered and this one does not know.
TEST_F(FillPacerTest, Report_OfARunWithUnknownPace_OrdersOne) {
  fill_.pace_percent.reset();
  EXPECT_EQ(Report(70), 50U);
}

}  // namespace
}  // namespace clementineloom::workload
