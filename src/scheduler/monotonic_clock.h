#pragma once

#include <concepts>

#include "scheduler/monotonic_time.h"

namespace clementineloom::scheduler {

/// @brief A monotonic clock that a duty reads; tests use one that they advance themselves.
template <class T>
concept MonotonicClock = requires {
  { T::now() } -> std::same_as<MonotonicTime>;
};

}  // namespace clementineloom::scheduler
