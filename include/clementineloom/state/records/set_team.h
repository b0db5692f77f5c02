#pragma once

#include "clementineloom/model/team.h"

namespace clementineloom {

/// @brief Configuration edit: creates or replaces a team.
struct SetTeam {
  const Team team;

  friend auto operator<=>(const SetTeam&, const SetTeam&) = default;
};

}  // namespace clementineloom
