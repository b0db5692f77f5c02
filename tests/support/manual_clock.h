#pragma once

#include <chrono>

namespace clementineloom::testing_support {

/// @brief A monotonic clock that tests advance explicitly. The time is global to the test program
/// and must be used from a single thread.
struct ManualClock {
  using Time = std::chrono::steady_clock::time_point;

  static Time now() { return Current(); }
  static void Advance(std::chrono::milliseconds by) { Current() += by; }
  /// @brief Sets the clock back to a fixed time that is not the epoch.
  static void Reset() { Current() = Time(std::chrono::hours(1)); }

 private:
  static Time& Current() {
    static Time time(std::chrono::hours(1));
    return time;
  }
};

}  // namespace clementineloom::testing_support
