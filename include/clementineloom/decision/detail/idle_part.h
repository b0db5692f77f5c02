#pragma once

#include <cstdint>
#include <vector>

#include "clementineloom/model/worker_id.h"

namespace clementineloom::detail {

/// @brief Where the part of a cell that is not in use is reserved.
struct IdlePart {
  /// Reserved on each of the workers.
  std::uint32_t accelerators = 0;
  std::vector<WorkerId> workers;

  friend auto operator<=>(const IdlePart&, const IdlePart&) = default;
};

}  // namespace clementineloom::detail
