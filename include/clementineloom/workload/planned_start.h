#pragma once

#include <compare>
#include <string>

#include "clementineloom/workload/placed_run.h"

namespace clementineloom::workload {

/// @brief The decision to start a run on a worker. An immutable value.
struct PlannedStart {
  std::string worker;
  PlacedRun run;
  /// Ticket of the advice service; empty where the queue needs none.
  std::string ticket;

  friend auto operator<=>(const PlannedStart&, const PlannedStart&) = default;
};

}  // namespace clementineloom::workload
