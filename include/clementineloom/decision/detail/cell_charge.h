#pragma once

#include <cstdint>

#include "clementineloom/model/gang_shape.h"

namespace clementineloom::detail {

/// @brief Accelerators of each worker that a guaranteed job takes out of its cell.
[[nodiscard]] inline std::int32_t CellCharge(const GangShape& guaranteed, const GangShape& job) {
  return guaranteed.workers() == 1 ? job.accelerators_per_worker()
                                   : guaranteed.accelerators_per_worker();
}

}  // namespace clementineloom::detail
