#pragma once

#include <compare>
#include <cstdint>

#include "clementineloom/model/instant.h"
#include "platform/task_key.h"

namespace clementineloom::platform {

/// @brief Reserves accelerators of a worker for a task that is started later.
struct ReserveCommand {
  TaskKey key;
  std::uint16_t accelerators = 1;
  /// The reservation lapses after this time unless the task was started.
  Duration ttl{1'500};

  friend auto operator<=>(const ReserveCommand&, const ReserveCommand&) = default;
};

}  // namespace clementineloom::platform
