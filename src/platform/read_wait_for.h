#pragma once

#include <algorithm>
#include <chrono>

#include "platform/follower_options.h"

namespace clementineloom::platform {

/// @brief The wait of a read with which an idle stream does not make a view older than the given
/// age: the age reaches twice the wait, and the rest is left for a slow answer.
/// @param max_view_age precondition: at least 4 ms
[[nodiscard]] inline std::chrono::milliseconds ReadWaitFor(std::chrono::milliseconds max_view_age) {
  constexpr int kWaitsPerAge = 4;
  return std::min(FollowerOptions().read_wait, max_view_age / kWaitsPerAge);
}

}  // namespace clementineloom::platform
