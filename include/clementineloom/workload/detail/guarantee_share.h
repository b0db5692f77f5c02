#pragma once

#include <compare>
#include <cstdint>

namespace clementineloom::workload::detail {

/// @brief The accelerators that a team is guaranteed for urgent work, and those that it holds.
/// An immutable value.
struct GuaranteeShare {
  std::int64_t guaranteed = 0;
  std::int64_t held = 0;

  friend auto operator<=>(const GuaranteeShare&, const GuaranteeShare&) = default;

  /// @brief Whether the team stays within its guarantee with so many more.
  [[nodiscard]] bool Covers(std::int64_t more) const {
    return guaranteed > 0 && held + more <= guaranteed;
  }

  /// @brief Whether the team keeps what it is guaranteed without so many of those that it holds.
  [[nodiscard]] bool CanLose(std::int64_t amount) const {
    return held > guaranteed && held - amount >= guaranteed;
  }

  /// @brief What the team holds beyond its guarantee.
  [[nodiscard]] std::int64_t Borrowed() const { return held > guaranteed ? held - guaranteed : 0; }
};

}  // namespace clementineloom::workload::detail
