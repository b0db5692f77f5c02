#include "clementineloom/workload/drain_move.h"

#include <gtest/gtest.h>

namespace clementineloom::workload {
namespace {

class DrainMoveTest : public testing::Test {
 protected:
  DrainMoveTest() {
    spec_.estimate_ms = 10'000;
    StartAt(now_ - Milliseconds(2'000));
    run_.progress_percent = 20;
    run_.progressed_at = now_;
    times_ = {now_ + Milliseconds(3'000), Milliseconds(400)};
  }

  // A run that began with nothing done.
  void StartAt(SteadyTime started_at) {
    run_.placed_at = started_at;
    run_.first_percent_at = started_at;
  }

  const SteadyTime now_ = SteadyTime() + Milliseconds(60'000);
  StepSpec spec_;
  PlacedRun run_;
  DrainTimes times_;
};

// Guards against stopping a run that would have ended before the worker leaves.
TEST_F(DrainMoveTest, Run_ThatEndsInTime_IsLeftAlone) {
  run_.progress_percent = 50;
  EXPECT_EQ(DrainStopAt(spec_, run_, now_, times_), std::nullopt);
  spec_.saves_checkpoints = true;
  EXPECT_EQ(DrainStopAt(spec_, run_, now_, times_), std::nullopt);
}

// Guards against a stop that comes too late to save the newest checkpoint before the worker leaves.
TEST_F(DrainMoveTest, Run_ThatSavesCheckpoints_IsStoppedShortlyBeforeTheEnd) {
  spec_.saves_checkpoints = true;
  const auto stop_at = DrainStopAt(spec_, run_, now_, times_);
  ASSERT_TRUE(stop_at.has_value());
  EXPECT_GT(*stop_at, now_ + Milliseconds(1'500));
  EXPECT_LT(*stop_at, times_.leaves_at - times_.stop_timeout);
}

// Guards against a run without checkpoints that continues for seconds although all of its work will
// be lost.
TEST_F(DrainMoveTest, Run_WithoutCheckpointsAndLittleDone_IsStoppedAtOnce) {
  EXPECT_EQ(DrainStopAt(spec_, run_, now_, times_), now_);
}

// Guards against stopping a run that is mostly done and may still end if the worker stays longer.
TEST_F(DrainMoveTest, Run_WithoutCheckpointsAndMuchDone_IsLeftAlone) {
  StartAt(now_ - Milliseconds(20'000));
  run_.progress_percent = 70;
  EXPECT_EQ(DrainStopAt(spec_, run_, now_, times_), std::nullopt);
}

// Guards against a service task that is only replaced once the lease of a worker that left has
// expired.
TEST_F(DrainMoveTest, Run_OfAService_IsStoppedShortlyBeforeTheEnd) {
  spec_.runs_until_cancelled = true;
  run_.progress_percent = 100;
  EXPECT_EQ(DrainStopAt(spec_, run_, now_, times_),
            times_.leaves_at - times_.stop_timeout - Milliseconds(400));
}

// Guards against a remaining time that counts the work of an earlier run as progress of this one.
TEST_F(DrainMoveTest, Run_ResumedFromACheckpoint_IsJudgedByItsEstimate) {
  spec_.saves_checkpoints = true;
  run_.checkpoint = "saved";
  run_.first_percent_at = {};
  run_.progress_percent = 65;
  run_.placed_at = now_ - Milliseconds(100);
  EXPECT_NE(DrainStopAt(spec_, run_, now_, times_), std::nullopt);
  run_.progress_percent = 75;
  EXPECT_EQ(DrainStopAt(spec_, run_, now_, times_), std::nullopt);
}

}  // namespace
}  // namespace clementineloom::workload
