#pragma once

#include <chrono>

namespace clementineloom {

/// @brief Unit of all durations in decisions.
using Duration = std::chrono::milliseconds;

/// @brief A point in time that the caller passes to decisions; decisions never read a clock.
using Instant = std::chrono::sys_time<Duration>;

}  // namespace clementineloom
