#pragma once

#include <compare>
#include <string>

namespace clementineloom {

/// @brief A team's idempotency key; keys of different teams are independent. An immutable value.
struct ClaimKey {
  std::string team;
  std::string key;

  friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;
};

}  // namespace clementineloom
