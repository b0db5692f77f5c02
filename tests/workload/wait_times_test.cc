#include "clementineloom/workload/wait_times.h"

#include <gtest/gtest.h>

#include <vector>

namespace clementineloom::workload {
namespace {

class WaitTimesTest : public testing::Test {
 protected:
  void NoteAfter(int ms, const std::vector<StepId>& waiting) {
    now_ += Milliseconds(ms);
    times_.Note(now_, waiting);
  }

  const StepId first_{"a", 0, 0};
  const StepId second_{"b", 0, 0};
  SteadyTime now_;
  WaitTimes times_;
};

// Guards against a wait that is counted from its last check.
TEST_F(WaitTimesTest, Step_NotedAgain_WaitsSinceItWasNotedFirst) {
  NoteAfter(0, {first_});
  NoteAfter(1'000, {first_, second_});
  NoteAfter(500, {first_, second_});
  EXPECT_EQ(times_.LongerThan(Milliseconds(1'500)), (std::vector<StepId>{first_}));
  EXPECT_EQ(times_.LengthOf(first_), Milliseconds(1'500));
}

// Guards against a step that is overdue as soon as its second wait begins.
TEST_F(WaitTimesTest, Step_ThatWasAtWorkMeanwhile_WaitsAnew) {
  NoteAfter(0, {first_});
  NoteAfter(1'000, {});
  NoteAfter(500, {first_});
  EXPECT_TRUE(times_.LongerThan(Milliseconds(1)).empty());
}

}  // namespace
}  // namespace clementineloom::workload
