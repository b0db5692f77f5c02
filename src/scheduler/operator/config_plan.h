#pragma once

#include <compare>
#include <string>
#include <vector>

#include "clementineloom/state/records/config_edit.h"

namespace clementineloom::scheduler {

/// @brief Operator request: computes the effects of edits without applying them.
struct ConfigPlan {
  std::vector<ConfigEdit> edits;
  std::string author;

  friend auto operator<=>(const ConfigPlan&, const ConfigPlan&) = default;
};

}  // namespace clementineloom::scheduler
