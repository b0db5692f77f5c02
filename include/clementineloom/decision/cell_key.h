#pragma once

#include <cstddef>
#include <cstdint>

#include "clementineloom/model/team_id.h"

namespace clementineloom {

/// @brief Identifies one guaranteed shape (a cell) of a team by the index of the guarantee and the
/// index of the instance within it.
struct CellKey {
  TeamId team;
  std::uint16_t guarantee = 0;
  std::uint16_t instance = 0;

  /// @brief Builds a key from indexes into the lists of guarantees and instances.
  /// Precondition: both indexes fit into 16 bits, which the limits of the configuration ensure.
  [[nodiscard]] static CellKey At(TeamId team, std::size_t guarantee, std::size_t instance) {
    return {team, static_cast<std::uint16_t>(guarantee), static_cast<std::uint16_t>(instance)};
  }

  friend auto operator<=>(const CellKey&, const CellKey&) = default;
};

}  // namespace clementineloom
