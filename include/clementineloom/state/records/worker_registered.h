#pragma once

#include "clementineloom/model/worker.h"

namespace clementineloom {

/// @brief A worker appeared on the instance list, or came back under the same name.
struct WorkerRegistered {
  const Worker worker;

  friend auto operator<=>(const WorkerRegistered&, const WorkerRegistered&) = default;
};

}  // namespace clementineloom
