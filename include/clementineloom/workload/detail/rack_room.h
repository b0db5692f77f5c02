#pragma once

#include <cstdint>
#include <vector>

namespace clementineloom::workload::detail {

struct WorkerRoom;

/// @brief The rooms of the workers on a rack while a plan is being made.
struct RackRoom {
  std::vector<WorkerRoom*> rooms;
  /// Free accelerators of all of them; a worker on which more is claimed than is free counts as 0.
  std::int64_t free_accelerators = 0;
};

}  // namespace clementineloom::workload::detail
