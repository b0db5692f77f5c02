#pragma once

#include <vector>

#include "settings/key_spec.h"

namespace clementineloom::settings {

/// @brief Keys of the objects of a cluster document. Thread safety of all: constant data.
[[nodiscard]] const std::vector<KeySpec>& ClusterKeys();
[[nodiscard]] const std::vector<KeySpec>& DataCentreKeys();
[[nodiscard]] const std::vector<KeySpec>& WorkerShapeKeys();
[[nodiscard]] const std::vector<KeySpec>& TeamKeys();
[[nodiscard]] const std::vector<KeySpec>& GuaranteeKeys();
[[nodiscard]] const std::vector<KeySpec>& ObjectiveKeys();

}  // namespace clementineloom::settings
