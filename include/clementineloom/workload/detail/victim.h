#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "clementineloom/workload/detail/stop_cost.h"
#include "clementineloom/workload/placed_run.h"

namespace clementineloom::workload::detail {

/// @brief A run that may be stopped for more urgent work.
struct Victim {
  /// In the worker's runs, which have to outlive it.
  const PlacedRun* run = nullptr;
  /// Cost of stopping it, for the whole gang if it is a member of one.
  StopCost cost;
  bool is_gang_member = false;
  /// Set for urgent work only, which may be stopped as far as its team is beyond its guarantee: the
  /// index of the team's share, and the accelerators that the team loses, those of the whole gang.
  std::optional<std::size_t> team;
  std::int64_t accelerators = 0;
};

}  // namespace clementineloom::workload::detail
