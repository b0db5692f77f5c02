#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <string>

namespace clementineloom::scheduler {

/// @brief Limits of the append duty.
struct AppendOptions {
  std::string stream = "control";
  /// Records and bytes in one append.
  std::size_t max_batch = 64;
  std::size_t max_batch_bytes = 256 * 1024;
  /// Proposals that may wait for their append; further ones are dropped at once.
  std::size_t max_queue = 1'024;
  /// Pause after an append that failed.
  std::chrono::milliseconds retry_pause{100};

  friend auto operator<=>(const AppendOptions&, const AppendOptions&) = default;
};

}  // namespace clementineloom::scheduler
