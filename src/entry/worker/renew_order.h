#pragma once

#include <compare>
#include <cstdint>
#include <optional>

namespace clementineloom::entry {

/// @brief Order to renew the lease of all runs of a worker and to return its lists. An immutable
/// value.
struct RenewOrder {
  std::uint64_t fencing_token = 0;
  /// Ends up to this number are recorded, so that the worker may drop them.
  std::uint64_t acknowledged_end = 0;
  /// End of the lease, on the worker's clock; absent if the lease is not renewed, for example
  /// while that clock is not known.
  std::optional<std::int64_t> lease_until_ms;
  /// Longest time to wait for an end; 0 for an immediate answer.
  std::int64_t wait_ms = 0;

  friend auto operator<=>(const RenewOrder&, const RenewOrder&) = default;
};

}  // namespace clementineloom::entry
