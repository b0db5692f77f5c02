#pragma once

#include <string>
#include <vector>

#include "clementineloom/model/config_revision.h"
#include "clementineloom/state/records/config_edit.h"

namespace clementineloom {

/// @brief Edits that take effect together, if the base revision is still the current one.
struct ConfigChanged {
  const ConfigRevision base_revision;
  const std::vector<ConfigEdit> edits;
  /// The operator who confirmed the plan; for the audit trail only.
  const std::string author;

  friend auto operator<=>(const ConfigChanged&, const ConfigChanged&) = default;
};

}  // namespace clementineloom
