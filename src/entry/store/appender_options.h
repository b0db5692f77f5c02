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
  /// Id of the writer, under which the store checks sequence numbers.
  std::string producer;
  std::uint64_t epoch = 0;
  /// Sequence number of the first append.
  std::uint64_t first_sequence = 0;
  /// Whether an append that the store refused is retried instead of being reported.
  bool retries_refused = false;
  /// Time after which an append whose outcome is still unknown is given up: its groups get
  /// kUnknown. The next append has a higher epoch, so that the store fences the one that was given
  /// up. If absent, appends are repeated without limit.
  std::optional<workload::Milliseconds> give_up_after;
  /// Size in bytes of keys and values beyond which groups do not share an append.
  std::size_t max_batch_bytes = 200'000;

  friend auto operator<=>(const AppenderOptions&, const AppenderOptions&) = default;
};

}  // namespace clementineloom::entry
