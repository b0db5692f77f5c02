#pragma once

#include <compare>
#include <vector>

#include "clementineloom/model/config_revision.h"
#include "clementineloom/model/data_centre.h"
#include "clementineloom/model/team.h"

namespace clementineloom::scheduler {

/// @brief The configuration in force at a revision. An immutable value.
struct ConfigView {
  ConfigRevision revision;
  std::vector<DataCentre> data_centres;
  std::vector<Team> teams;

  friend auto operator<=>(const ConfigView&, const ConfigView&) = default;
};

}  // namespace clementineloom::scheduler
