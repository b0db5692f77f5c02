#pragma once

#include <cstdint>
#include <vector>

#include "clementineloom/decision/cell_key.h"
#include "clementineloom/model/rack_id.h"

namespace clementineloom::detail {

/// @brief How the accelerators of a worker are divided between jobs and cells.
struct WorkerRoom {
  RackId rack;
  /// All accelerators, or 0 while no job may be placed on the worker.
  std::int32_t capacity = 0;
  /// Accelerators that no job holds; negative while accelerators are withheld that borrowers still
  /// have to release.
  std::int32_t free = 0;
  /// Accelerators of cells in use. A unit of a cell with several workers counts in full, so that
  /// the whole shape is available again when its jobs end.
  std::int32_t charged = 0;
  /// Accelerators bound to idle cells.
  std::int32_t reserved = 0;
  /// The idle cells bound to the worker.
  std::vector<CellKey> bound;

  friend auto operator<=>(const WorkerRoom&, const WorkerRoom&) = default;
};

}  // namespace clementineloom::detail
