#pragma once

#include "clementineloom/routing/listed_workers.h"
#include "platform/instance_list.h"

namespace clementineloom::gateway {

/// @brief Extracts the live workers and the number of entry instances from an instance list.
[[nodiscard]] ListedWorkers ListedWorkersOf(const platform::InstanceList& list);

}  // namespace clementineloom::gateway
