#pragma once

#include <concepts>

#include "scheduler/monotonic_time.h"

namespace clementineloom::scheduler {

/// @brief A clock that is read while a duty works; tests set theirs by hand.
template <class T>
concept MonotonicClock = requires {
  { T::now() } -> std::same_as<MonotonicTime>;
};

}  // namespace clementineloom::scheduler
