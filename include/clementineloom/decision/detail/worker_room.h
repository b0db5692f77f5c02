#pragma once

#include <cstdint>
#include <vector>

#include "clementineloom/decision/cell_key.h"
#include "clementineloom/model/rack_id.h"

namespace clementineloom::detail {

/// @brief How a worker's accelerators are divided, as the decision index sees them.
struct WorkerRoom {
  RackId rack;
  /// All accelerators, or 0 while nothing may be placed there.
  std::int32_t capacity = 0;
  /// Accelerators that no job holds; less than 0 when room is held that borrowers have to leave.
  std::int32_t free = 0;
  /// Accelerators of cells in use: a unit of a cell of several workers counts in full, so that the
  /// whole shape is there again when its jobs end.
  std::int32_t charged = 0;
  /// Accelerators bound to idle cells.
  std::int32_t reserved = 0;
  /// The idle cells bound here.
  std::vector<CellKey> bound;

  friend auto operator<=>(const WorkerRoom&, const WorkerRoom&) = default;
};

}  // namespace clementineloom::detail
