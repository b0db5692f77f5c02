#include "entry/owner/suspension_watch.h"

#include <gtest/gtest.h>

namespace clementineloom::entry {
namespace {

using workload::Milliseconds;
using workload::SteadyTime;

class SuspensionWatchTest : public testing::Test {
 protected:
  [[nodiscard]] static SteadyTime At(int ms) { return SteadyTime() + Milliseconds(ms); }

  SuspensionWatch watch_{At(0)};
};

// Guards against starts that wait for a confirmation although the process ran all the time.
TEST_F(SuspensionWatchTest, IsConfirmedSince_WhileTheProcessRuns_NeedsNoNewConfirmation) {
  for (int ms = 250; ms <= 5'000; ms += 250) {
    watch_.OnTick(At(ms));
    EXPECT_TRUE(watch_.IsConfirmedSince(At(0), At(ms + 240))) << ms;
  }
}

// Guards against an order that leaves before the first tick after a suspension.
TEST_F(SuspensionWatchTest, IsConfirmedSince_BeforeTheFirstTickAfterASuspension_IsFalse) {
  watch_.OnTick(At(250));
  EXPECT_FALSE(watch_.IsConfirmedSince(At(200), At(1'700)));
}

// Guards against an order that relies on a confirmation from before the suspension.
TEST_F(SuspensionWatchTest, IsConfirmedSince_AfterASuspension_NeedsANewConfirmation) {
  watch_.OnTick(At(250));
  watch_.OnTick(At(1'700));
  watch_.OnTick(At(1'950));
  EXPECT_FALSE(watch_.IsConfirmedSince(At(1'699), At(1'960)));
  EXPECT_TRUE(watch_.IsConfirmedSince(At(1'700), At(1'960)));
}

}  // namespace
}  // namespace clementineloom::entry
