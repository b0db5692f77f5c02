#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace clementineloom::workload::detail {

/// @brief The accelerators that a team is guaranteed for urgent work, and those that it holds.
/// An immutable value.
struct GuaranteeShare {
  std::int64_t guaranteed = 0;
  std::int64_t held = 0;

  friend auto operator<=>(const GuaranteeShare&, const GuaranteeShare&) = default;

  /// @brief Whether the team stays within its guarantee with this many more accelerators.
  [[nodiscard]] bool Covers(std::int64_t more) const {
    return guaranteed > 0 && held + more <= guaranteed;
  }

  /// @brief Whether another run of the team may be stopped after it has lost this many
  /// accelerators. Runs are stopped whole, so the last one may lie partly within the guarantee
  /// if the team has no run of a better size.
  [[nodiscard]] bool MayLoseRunAfter(std::int64_t lost) const { return held - lost > guaranteed; }

  /// @brief Accelerators of the guarantee that the team loses when a run of this size is stopped
  /// alone.
  [[nodiscard]] std::int64_t GuaranteedPartOf(std::int64_t accelerators) const {
    return std::clamp<std::int64_t>(guaranteed - (held - accelerators), 0, guaranteed);
  }

  /// @brief What the team holds beyond its guarantee.
  [[nodiscard]] std::int64_t Borrowed() const { return held > guaranteed ? held - guaranteed : 0; }
};

}  // namespace clementineloom::workload::detail
