#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "clementineloom/workload/steady_time.h"

namespace clementineloom::entry {

/// @brief Identity and limits of an Appender.
struct AppenderOptions {
  /// Writer under which the store numbers the appends.
  std::string producer;
  std::uint64_t epoch = 0;
  /// Number of the first append.
  std::uint64_t first_sequence = 0;
  /// Whether an append that the store refused is tried again instead of being reported.
  bool retries_refused = false;
  /// Time after which an append whose outcome is still open is given up: its groups get kUnknown.
  /// The next append has a higher epoch, after which the store refuses what was given up. Without
  /// it appends are repeated for ever.
  std::optional<workload::Milliseconds> give_up_after;
  /// Most bytes of values in one append.
  std::size_t max_batch_bytes = 200'000;

  friend auto operator<=>(const AppenderOptions&, const AppenderOptions&) = default;
};

}  // namespace clementineloom::entry
