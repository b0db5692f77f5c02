#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace clementineloom::workload {

/// @brief A team's keys and the accelerators that it is guaranteed. An immutable value.
struct TeamAccess {
  std::string name;
  std::vector<std::string> keys;
  std::int64_t guaranteed_accelerators = 0;

  friend auto operator<=>(const TeamAccess&, const TeamAccess&) = default;
};

}  // namespace clementineloom::workload
