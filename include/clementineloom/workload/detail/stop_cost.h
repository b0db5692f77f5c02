#pragma once

#include <compare>
#include <cstdint>

namespace clementineloom::workload::detail {

/// @brief Cost of stopping runs, in lexicographic order: any loss of a guarantee weighs more than
/// all lost work, any loss of urgent work more than that of other work, and that of a team within
/// its share of the fleet more than that of a team above it. An immutable value.
struct StopCost {
  /// Accelerators that teams lose of their guarantees.
  std::int64_t guaranteed = 0;
  /// Core-milliseconds of urgent work.
  std::int64_t urgent = 0;
  /// Core-milliseconds of other work of teams that are not above their shares; 0 where teams have
  /// none.
  std::int64_t within_share = 0;
  /// Core-milliseconds of other work; more than any of it for a service task.
  std::int64_t other = 0;

  friend auto operator<=>(const StopCost&, const StopCost&) = default;
  friend StopCost operator+(const StopCost& a, const StopCost& b) {
    return {a.guaranteed + b.guaranteed, a.urgent + b.urgent, a.within_share + b.within_share,
            a.other + b.other};
  }
};

}  // namespace clementineloom::workload::detail
