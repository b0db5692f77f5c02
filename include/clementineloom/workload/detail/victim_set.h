#pragma once

#include <cstdint>
#include <vector>

#include "clementineloom/workload/placed_run.h"

namespace clementineloom::workload::detail {

/// @brief Runs to stop on a worker, so that one more task fits there.
struct VictimSet {
  /// In the worker's runs, which have to outlive it.
  std::vector<const PlacedRun*> runs;
  /// Core-milliseconds of work that is thrown away.
  std::int64_t cost = 0;
};

}  // namespace clementineloom::workload::detail
