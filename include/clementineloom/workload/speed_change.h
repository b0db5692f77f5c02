#pragma once

#include <compare>
#include <optional>

#include "clementineloom/workload/kind_pair.h"

namespace clementineloom::workload {

/// @brief What one sample changed in what counts as known. An immutable value.
struct SpeedChange {
  /// The speed of the sample's worker, if it counts as another one than before.
  std::optional<double> worker_speed;
  /// A pair of kinds that counts as disturbing now and did not before, or the other way round.
  std::optional<KindPair> pair;

  friend auto operator<=>(const SpeedChange&, const SpeedChange&) = default;
};

}  // namespace clementineloom::workload
