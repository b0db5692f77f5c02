#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

#include "clementineloom/workload/resources.h"

namespace clementineloom::soak {

/// @brief A time in which a job had nothing running beside room.
struct StillSpan {
  std::size_t step = 0;
  std::size_t open = 0;
  std::int64_t from_ms = 0;
  std::int64_t to_ms = 0;
  /// Least number of tasks of the step that fitted.
  std::size_t min_fit = 0;
  /// What was in use at the beginning.
  workload::Resources used;

  friend auto operator<=>(const StillSpan&, const StillSpan&) = default;
};

}  // namespace clementineloom::soak
