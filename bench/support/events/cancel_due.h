#pragma once

#include <cstddef>

namespace clementineloom::bench {

/// @brief A cancel wave of the workload is due.
struct CancelDue {
  std::size_t index = 0;

  friend auto operator<=>(const CancelDue&, const CancelDue&) = default;
};

}  // namespace clementineloom::bench
