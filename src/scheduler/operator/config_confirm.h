#pragma once

#include <compare>
#include <string>
#include <vector>

#include "clementineloom/model/config_revision.h"
#include "clementineloom/state/records/config_edit.h"

namespace clementineloom::scheduler {

/// @brief Operator request: applies edits if the base revision is still the current one.
struct ConfigConfirm {
  std::vector<ConfigEdit> edits;
  ConfigRevision base_revision;
  std::string author;

  friend auto operator<=>(const ConfigConfirm&, const ConfigConfirm&) = default;
};

}  // namespace clementineloom::scheduler
