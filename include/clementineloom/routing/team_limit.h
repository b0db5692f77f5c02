#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace clementineloom {

/// @brief Maximum number of requests of a team that one gateway has in progress. An immutable
/// value.
struct TeamLimit {
  std::string team;
  std::uint32_t max_concurrent = 0;

  friend auto operator<=>(const TeamLimit&, const TeamLimit&) = default;
};

}  // namespace clementineloom
