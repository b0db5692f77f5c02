#pragma once

#include <variant>

#include "clementineloom/state/records/delete_team.h"
#include "clementineloom/state/records/set_data_centre.h"
#include "clementineloom/state/records/set_team.h"

namespace clementineloom {

/// @brief One edit of the configuration; a ConfigChanged record applies all of its edits or none.
using ConfigEdit = std::variant<SetTeam, DeleteTeam, SetDataCentre>;

}  // namespace clementineloom
