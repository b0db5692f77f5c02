#pragma once

#include <chrono>

namespace clementineloom::scheduler {

/// @brief Time that is compared with deadlines; it advances while the process is paused.
using MonotonicTime = std::chrono::steady_clock::time_point;

}  // namespace clementineloom::scheduler
