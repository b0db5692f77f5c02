#pragma once

#include <compare>
#include <cstdint>
#include <optional>

namespace clementineloom::bench {

/// @brief Results of one trouble with one seed. Times are in ms from the trouble's origin; absent
/// ones did not happen. An immutable value.
struct RecoveryFigures {
  std::uint64_t seed = 0;
  /// First claim of a new ownership at the store.
  std::optional<std::int64_t> detect_ms;
  /// First instance that holds a new ownership.
  std::optional<std::int64_t> claim_ms;
  /// First start at a worker by which the system shows that it works again.
  std::optional<std::int64_t> first_start_ms;
  /// Every task that ran before works again or is done, and no more accepted jobs wait than before.
  std::optional<std::int64_t> all_ms;
  /// Longest time between two starts from the trouble to the recovery.
  std::int64_t start_gap_ms = 0;
  /// Starts of tasks that had been started before.
  std::int64_t begun_anew = 0;
  /// Starts of tasks that another worker was running.
  std::int64_t run_twice = 0;

  friend auto operator<=>(const RecoveryFigures&, const RecoveryFigures&) = default;
};

}  // namespace clementineloom::bench
