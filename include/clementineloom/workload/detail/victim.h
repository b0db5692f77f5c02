#pragma once

#include <cstdint>

#include "clementineloom/workload/placed_run.h"

namespace clementineloom::workload::detail {

/// @brief A run that may be stopped for more urgent work.
struct Victim {
  /// In the worker's runs, which have to outlive it.
  const PlacedRun* run = nullptr;
  /// Core-milliseconds of work that its stop throws away, in the whole gang if it is of one.
  std::int64_t cost = 0;
  bool is_of_gang = false;
};

}  // namespace clementineloom::workload::detail
