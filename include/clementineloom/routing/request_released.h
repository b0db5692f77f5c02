#pragma once

#include <compare>
#include <string>

namespace clementineloom {

/// @brief Record of the claims stream: the claimed request did not run, so that the key is free.
struct RequestReleased {
  std::string claim;

  friend auto operator<=>(const RequestReleased&, const RequestReleased&) = default;
};

}  // namespace clementineloom
