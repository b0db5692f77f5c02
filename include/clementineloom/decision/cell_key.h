#pragma once

#include <cstddef>
#include <cstdint>

#include "clementineloom/model/team_id.h"

namespace clementineloom {

/// @brief Names one guaranteed shape of a team: which guarantee, and which of its equal shapes.
struct CellKey {
  TeamId team;
  std::uint16_t guarantee = 0;
  std::uint16_t instance = 0;

  /// @brief Key of a position in lists by guarantee and by instance.
  /// Precondition: both fit 16 bits, as the configuration limits them.
  [[nodiscard]] static CellKey At(TeamId team, std::size_t guarantee, std::size_t instance) {
    return {team, static_cast<std::uint16_t>(guarantee), static_cast<std::uint16_t>(instance)};
  }

  friend auto operator<=>(const CellKey&, const CellKey&) = default;
};

}  // namespace clementineloom
