#include "entry/port/boot_clock.h"

#include <time.h>

#include <cassert>
#include <chrono>

namespace clementineloom::entry {

workload::SteadyTime BootClock::Now() {
  // std::chrono::steady_clock reads CLOCK_MONOTONIC, which stands still during a suspension.
  timespec time{};
  [[maybe_unused]] const int failed = clock_gettime(CLOCK_BOOTTIME, &time);
  assert(failed == 0);
  return workload::SteadyTime(std::chrono::seconds(time.tv_sec) +
                              std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace clementineloom::entry
