#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace clementineloom::workload::detail {

/// @brief The accelerators of a rack, and those that less urgent work holds. An immutable value.
struct RackLoad {
  std::string rack;
  std::int64_t accelerators = 0;
  std::int64_t less_urgent = 0;

  friend auto operator<=>(const RackLoad&, const RackLoad&) = default;
};

}  // namespace clementineloom::workload::detail
