#pragma once

#include <compare>
#include <string>

#include "clementineloom/routing/claim_key.h"

namespace clementineloom {

/// @brief Record of the claims stream: a gateway wants to run the request of a key.
struct RequestClaimed {
  /// Unique; names the claim in the records that end it.
  std::string id;
  ClaimKey key;
  /// Digest of method, target and body.
  std::string digest;
  /// Instance of the gateway.
  std::string gateway;

  friend auto operator<=>(const RequestClaimed&, const RequestClaimed&) = default;
};

}  // namespace clementineloom
