#pragma once

#include <compare>
#include <string>

namespace clementineloom::gateway {

/// @brief Identifies the claim under which a request runs. An immutable value.
struct ClaimHandle {
  /// Id of the RequestClaimed record.
  std::string claim;

  friend auto operator<=>(const ClaimHandle&, const ClaimHandle&) = default;
};

}  // namespace clementineloom::gateway
