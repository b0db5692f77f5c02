#pragma once

#include <optional>

#include "clementineloom/model/instant.h"
#include "clementineloom/model/placement.h"
#include "clementineloom/state/cluster_state.h"

namespace clementineloom {

/// @brief Baseline placer: takes the first workers in id order that fit, always as borrowed
/// capacity.
///
/// Complexity: linear in the workers. Thread safety: none.
class FirstFitPlacer {
 public:
  /// Precondition: the job is waiting.
  [[nodiscard]] std::optional<Placement> Place(const ClusterState& state, JobId job,
                                               Instant now) const;
};

}  // namespace clementineloom
