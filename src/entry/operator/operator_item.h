#pragma once

#include <variant>

#include "clementineloom/workload/workload_config.h"

namespace clementineloom::entry {

/// @brief An item published by operators; std::monostate for an item of unknown kind.
using OperatorItem = std::variant<std::monostate, workload::WorkloadConfig>;

}  // namespace clementineloom::entry
