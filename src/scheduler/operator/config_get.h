#pragma once

#include <compare>

namespace clementineloom::scheduler {

/// @brief Operator request: the configuration in force.
struct ConfigGet {
  friend auto operator<=>(const ConfigGet&, const ConfigGet&) = default;
};

}  // namespace clementineloom::scheduler
