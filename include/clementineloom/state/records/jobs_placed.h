#pragma once

#include <vector>

#include "clementineloom/model/log_offset.h"
#include "clementineloom/model/placement.h"

namespace clementineloom {

/// @brief Proposed placements; each is validated on its own against the state at the record's
/// offset.
struct JobsPlaced {
  /// The last offset that the proposer had applied when it decided.
  const LogOffset decided_at;
  const std::vector<Placement> placements;

  friend auto operator<=>(const JobsPlaced&, const JobsPlaced&) = default;
};

}  // namespace clementineloom
