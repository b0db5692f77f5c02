#pragma once

#include <cstddef>

namespace clementineloom::bench {

/// @brief A worker of the workload's losses is lost or registers again.
struct WorkerDue {
  std::size_t index = 0;
  bool is_back = false;

  friend auto operator<=>(const WorkerDue&, const WorkerDue&) = default;
};

}  // namespace clementineloom::bench
