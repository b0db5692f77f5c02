#pragma once

#include <compare>
#include <string>
#include <vector>

#include "clementineloom/state/records/config_edit.h"

namespace clementineloom::scheduler {

/// @brief Operator request: what edits would lead to. Changes nothing.
struct ConfigPlan {
  std::vector<ConfigEdit> edits;
  std::string author;

  friend auto operator<=>(const ConfigPlan&, const ConfigPlan&) = default;
};

}  // namespace clementineloom::scheduler
