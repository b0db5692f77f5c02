#pragma once

#include <compare>
#include <cstdint>

namespace clementineloom::workload {

/// @brief Tail latency of a service task on its worker and the target for it. An immutable value.
struct ServiceLoad {
  /// Tail of its response times over roughly the last half second.
  std::int64_t tail_ms = 0;
  /// Bound of that tail. Precondition: greater than 0.
  std::int64_t target_ms = 1;

  friend auto operator<=>(const ServiceLoad&, const ServiceLoad&) = default;
};

}  // namespace clementineloom::workload
