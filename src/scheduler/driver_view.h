#pragma once

#include <compare>
#include <cstddef>

#include "scheduler/monotonic_time.h"
#include "scheduler/view_freshness.h"

namespace clementineloom::scheduler {

/// @brief The inputs of an attempt's steps besides the attempt itself. An immutable value.
struct DriverView {
  MonotonicTime now;
  ViewFreshness freshness;
  /// Rank of this scheduler for the attempt's job.
  std::size_t rank = 0;
  bool is_draining = false;

  friend auto operator<=>(const DriverView&, const DriverView&) = default;
};

}  // namespace clementineloom::scheduler
