#pragma once

#include <vector>

#include "clementineloom/workload/detail/stop_cost.h"
#include "clementineloom/workload/detail/victim.h"

namespace clementineloom::workload::detail {

/// @brief Runs to stop on a worker, so that one more task fits there.
struct VictimSet {
  std::vector<Victim> victims;
  /// Cost of stopping them.
  StopCost cost;
};

}  // namespace clementineloom::workload::detail
