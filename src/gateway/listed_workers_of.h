#pragma once

#include "clementineloom/routing/listed_workers.h"
#include "platform/instance_list.h"

namespace clementineloom::gateway {

/// @brief The part of an instance list that routing needs.
[[nodiscard]] ListedWorkers ListedWorkersOf(const platform::InstanceList& list);

}  // namespace clementineloom::gateway
