#pragma once

#include <cstdint>
#include <vector>

#include "clementineloom/decision/detail/idle_part.h"
#include "clementineloom/model/gang_shape.h"
#include "clementineloom/model/job_id.h"
#include "clementineloom/model/worker_id.h"

namespace clementineloom::detail {

/// @brief The workers of one guaranteed shape: those in use, and those reserved for the idle part.
struct CellBinding {
  GangShape shape;
  /// Guaranteed jobs that use the cell.
  std::vector<JobId> jobs;
  /// Workers of these jobs; sorted.
  std::vector<WorkerId> used;
  std::uint32_t used_units = 0;
  /// Without workers while the cell is at risk or wholly in use.
  IdlePart idle;

  friend auto operator<=>(const CellBinding&, const CellBinding&) = default;
};

}  // namespace clementineloom::detail
