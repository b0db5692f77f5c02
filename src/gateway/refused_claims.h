#pragma once

#include <compare>
#include <string>
#include <vector>

namespace clementineloom::gateway {

/// @brief Claims that the log certainly did not append. An immutable value.
struct RefusedClaims {
  /// Ids; empty if no claim was refused.
  std::vector<std::string> claims;
  /// Why the append was refused.
  std::string detail;

  friend auto operator<=>(const RefusedClaims&, const RefusedClaims&) = default;
};

}  // namespace clementineloom::gateway
