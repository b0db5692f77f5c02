#pragma once

#include <compare>
#include <string>

namespace clementineloom::gateway {

/// @brief An encoded record for the claims stream. An immutable value.
struct ClaimAppend {
  std::string payload;
  /// Id of the claim that the record makes; empty for a record that ends a claim.
  std::string claim;

  friend auto operator<=>(const ClaimAppend&, const ClaimAppend&) = default;
};

}  // namespace clementineloom::gateway
