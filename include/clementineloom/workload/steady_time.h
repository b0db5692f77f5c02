#pragma once

#include <chrono>

namespace clementineloom::workload {

/// @brief A time of the process's steady clock; callers pass it in, so that tests set it.
using SteadyTime = std::chrono::steady_clock::time_point;
using Milliseconds = std::chrono::milliseconds;

}  // namespace clementineloom::workload
