#pragma once

#include <compare>
#include <cstdint>

namespace clementineloom::workload {

/// @brief How a service task fares on its worker. An immutable value.
struct ServiceLoad {
  /// Tail of its response times over the last half second or so.
  std::int64_t tail_ms = 0;
  /// Bound of that tail. Precondition: greater than 0.
  std::int64_t target_ms = 1;

  friend auto operator<=>(const ServiceLoad&, const ServiceLoad&) = default;
};

}  // namespace clementineloom::workload
