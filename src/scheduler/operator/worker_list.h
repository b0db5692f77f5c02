#pragma once

#include <compare>

namespace clementineloom::scheduler {

/// @brief Request for all workers.
struct WorkerList {
  friend auto operator<=>(const WorkerList&, const WorkerList&) = default;
};

}  // namespace clementineloom::scheduler
