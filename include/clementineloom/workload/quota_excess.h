#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

namespace clementineloom::workload {

/// @brief A resource of which a step needs more at once than its team's quota. An immutable value.
struct QuotaExcess {
  std::uint32_t step = 0;
  /// Name of the resource with its unit, a string literal.
  std::string_view resource;
  std::int64_t needed = 0;
  std::int64_t quota = 0;

  friend auto operator<=>(const QuotaExcess&, const QuotaExcess&) = default;
};

}  // namespace clementineloom::workload
