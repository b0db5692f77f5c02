#pragma once

#include <chrono>

namespace clementineloom {

/// @brief A time of the monotonic clock, passed in by the caller; routing decisions read no clock.
using MonotonicTime = std::chrono::steady_clock::time_point;

}  // namespace clementineloom
