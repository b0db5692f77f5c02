#pragma once

#include <compare>
#include <cstdint>
#include <optional>

namespace clementineloom::entry {

/// @brief Renews the lease of all runs of a worker and asks for its lists. An immutable value.
struct RenewOrder {
  std::uint64_t fencing_token = 0;
  /// Ends up to this number are recorded, so that the worker may forget them.
  std::uint64_t acknowledged_end = 0;
  /// End of the lease, on the worker's clock; absent while that clock is not known.
  std::optional<std::int64_t> lease_until_ms;
  /// Longest wait for an end; 0 for an answer at once.
  std::int64_t wait_ms = 0;

  friend auto operator<=>(const RenewOrder&, const RenewOrder&) = default;
};

}  // namespace clementineloom::entry
