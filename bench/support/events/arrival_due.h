#pragma once

#include <cstddef>

namespace clementineloom::bench {

/// @brief The next job of the workload arrives.
struct ArrivalDue {
  std::size_t index = 0;

  friend auto operator<=>(const ArrivalDue&, const ArrivalDue&) = default;
};

}  // namespace clementineloom::bench
