#pragma once

#include <cstdint>
#include <vector>

#include "clementineloom/model/worker_id.h"

namespace clementineloom::detail {

/// @brief The workers on which the unused part of a cell is reserved.
struct IdlePart {
  /// Reserved on each worker.
  std::uint32_t accelerators = 0;
  std::vector<WorkerId> workers;

  friend auto operator<=>(const IdlePart&, const IdlePart&) = default;
};

}  // namespace clementineloom::detail
