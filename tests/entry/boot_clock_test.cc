#include "entry/port/boot_clock.h"

#include <gtest/gtest.h>
#include <time.h>

#include <chrono>

#include "clementineloom/concurrency/bounded_ring.h"
#include "entry/entry_event.h"
#include "entry/port/http_call_port.h"

namespace clementineloom::entry {
namespace {

class BootClockTest : public testing::Test {
 protected:
  static constexpr std::size_t kEvents = 4;

  static std::chrono::nanoseconds BootTime() {
    timespec time{};
    EXPECT_EQ(clock_gettime(CLOCK_BOOTTIME, &time), 0);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
  }

  BoundedRing<EntryEvent> events_{kEvents};
  HttpCallPort port_{events_};
};

// Guards against an owner that takes what it knew before a suspension of its machine for current.
TEST_F(BootClockTest, Now_OfThePort_CountsSuspensionsOfTheMachine) {
  const std::chrono::nanoseconds before = BootTime();
  const std::chrono::nanoseconds now = port_.Now().time_since_epoch();
  const std::chrono::nanoseconds after = BootTime();
  EXPECT_LE(before, now);
  EXPECT_LE(now, after);
}

}  // namespace
}  // namespace clementineloom::entry
