#pragma once

#include <string>

namespace clementineloom {

/// @brief Configuration edit: deletes a team that has no jobs.
struct DeleteTeam {
  const std::string team;

  friend auto operator<=>(const DeleteTeam&, const DeleteTeam&) = default;
};

}  // namespace clementineloom
