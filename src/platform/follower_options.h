#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <string>

namespace clementineloom::platform {

/// @brief Limits of a LogFollower.
struct FollowerOptions {
  std::string stream = "control";
  std::size_t read_limit = 1'000;
  /// Time that a read at the tail waits for the next record. The view's age reaches twice this
  /// time before the next answer, so that it has to stay well below max_view_age_ms.
  std::chrono::milliseconds read_wait{400};
  /// Pause after a read that failed.
  std::chrono::milliseconds retry_pause{100};

  friend auto operator<=>(const FollowerOptions&, const FollowerOptions&) = default;
};

}  // namespace clementineloom::platform
