#pragma once

#include <compare>
#include <cstdint>
#include <optional>

namespace clementineloom::bench {

/// @brief Targets of the recovery from a trouble; an absent time is not bounded. An immutable
/// value.
struct RecoveryBounds {
  std::optional<std::int64_t> claim_ms = std::nullopt;
  std::optional<std::int64_t> first_start_ms = std::nullopt;
  std::optional<std::int64_t> start_gap_ms = std::nullopt;
  /// Whether no run may be lost and begun anew.
  bool keeps_runs = false;

  friend auto operator<=>(const RecoveryBounds&, const RecoveryBounds&) = default;
};

}  // namespace clementineloom::bench
