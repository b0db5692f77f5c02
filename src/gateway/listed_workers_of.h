#pragma once

#include "clementineloom/routing/listed_workers.h"
#include "platform/instance_list.h"

namespace clementineloom::gateway {

/// @brief Extracts what routing needs from an instance list: its version, the live workers and the
/// number of entry instances.
[[nodiscard]] ListedWorkers ListedWorkersOf(const platform::InstanceList& list);

}  // namespace clementineloom::gateway
