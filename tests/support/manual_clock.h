#pragma once

#include <chrono>

namespace clementineloom::testing_support {

/// @brief A monotonic clock that tests set by hand; shared by one test program's one thread.
struct ManualClock {
  using Time = std::chrono::steady_clock::time_point;

  static Time now() { return Current(); }
  static void Advance(std::chrono::milliseconds by) { Current() += by; }
  /// @brief Back to a fixed time that is not the epoch.
  static void Reset() { Current() = Time(std::chrono::hours(1)); }

 private:
  static Time& Current() {
    static Time time(std::chrono::hours(1));
    return time;
  }
};

}  // namespace clementineloom::testing_support
